"""Selection of a backend server for a new flow."""

from collections.abc import Collection, Sequence
from heapq import nlargest
from math import ceil

from xxhash import xxh32_intdigest

from magnoliaslip.steering.servers import TrackedServer

# Servers whose load over all instances is above this multiple of the mean get no new
# flows.
LOAD_BOUND = 1.25
# When all instances see a new server at once, each prefers it until it has its share.
# About this many of them may do so; the others leave it out of the few servers that
# they compare.
RUSH_LIMIT = 4
MIN_CHOICES = 2
# Of a larger number of candidates, a sample of this size is considered first.
MAX_SAMPLE = 128
# Servers whose own loads differ by less than this share of the mean may rank in either
# order, by a hash of the flow.
LOAD_TOLERANCE = 0.1


class BoundedLoadSelector:
    """Chooses the server with the least own load among those that are not overloaded.

    Answers the load pattern of many instances that place flows by the same news. What
    others forward to a server is known half a second late and from a sample, so the
    least loaded server by that news is the same for all, and all place their flows on
    it until the next news. The news therefore only excludes servers above a bound; the
    choice among the rest is by what this instance itself forwards, which it knows at
    once.

    Servers that are added or return have no load at any instance. In a large fleet, a
    flow is therefore compared on a few servers only, chosen by its hash, so that such a
    server gets at most a few times the mean rate at first.

    Servers of the own zone are preferred.

    Of thousands of candidates, a flow is compared on a sample chosen by its hash, so
    that the time for a flow does not grow with the service. All are considered if the
    sample has no warm server that is neither suspect nor tried.

    Args:
        zone: Availability zone of this instance.
    """

    __slots__ = ("_zone",)

    def __init__(self, zone: str) -> None:
        self._zone = zone

    def choose(
        self,
        candidates: Sequence[TrackedServer],
        flow: bytes,
        now: float,
        *,
        near: Sequence[TrackedServer] = (),
        tried: Collection[TrackedServer] = (),
        cold_opens_per_s: float | None = None,
        instance_count: int = 1,
    ) -> TrackedServer | None:
        """Choose a server; None when none may get the flow.

        Tried and suspect servers are skipped unless no others remain; suspect ones are
        then used before tried ones. Among the rest, cold servers are skipped unless all
        are cold; those over their limit are skipped even then. Removed servers are
        skipped in any case, unless their registration has only lapsed.

        Args:
            candidates: Servers that may get new flows.
            flow: The flow; servers with about the same load are ranked by its hash.
            now: Monotonic time in seconds.
            near: Those of them in the own zone; used only if there are many candidates.
            tried: Servers that did not answer this flow, or another of its caller.
            cold_opens_per_s: New flows per second that this instance may place on a
                cold server; None for no limit.
            instance_count: Instances that place flows, this one included.
        """
        if len(candidates) > MAX_SAMPLE:
            tracked = self._choose_from_sample(
                candidates, near, flow, now, tried=tried, instance_count=instance_count
            )
            if tracked is not None:
                return tracked
        candidates = [
            tracked for tracked in candidates if tracked.counts_as_registered(now)
        ]
        usable = (
            [
                tracked
                for tracked in candidates
                if tracked.admits(now) and tracked not in tried
            ]
            or [tracked for tracked in candidates if tracked not in tried]
            or candidates
        )
        warm = [tracked for tracked in usable if tracked.cold_until <= now]
        if warm:
            return self._choose_by_load(warm, flow, now, instance_count)
        if cold_opens_per_s is not None:
            usable = [
                tracked
                for tracked in usable
                if tracked.warm_up.available(now, cold_opens_per_s)
            ]
        if not usable:
            return None
        return self._choose_by_load(usable, flow, now, instance_count)

    def _choose_from_sample(
        self,
        candidates: Sequence[TrackedServer],
        near: Sequence[TrackedServer],
        flow: bytes,
        now: float,
        *,
        tried: Collection[TrackedServer],
        instance_count: int,
    ) -> TrackedServer | None:
        """Choose one of a sample; None if it has no warm server to prefer."""

        def eligible(servers: Sequence[TrackedServer]) -> list[TrackedServer]:
            return [
                tracked
                for tracked in _sample(servers, flow)
                if tracked.cold_until <= now
                and tracked.counts_as_registered(now)
                and tracked.admits(now)
                and tracked not in tried
            ]

        far_sample = eligible(candidates)
        if not far_sample:
            return None
        bound = _load_bound(far_sample, now)
        near_sample = [each for each in eligible(near) if each.load(now) <= bound]
        if near_sample:
            return self._choose_by_own_load(
                near_sample, flow, now, len(near) / instance_count
            )
        choices = [each for each in far_sample if each.load(now) <= bound]
        return self._choose_by_own_load(
            choices, flow, now, len(candidates) / instance_count
        )

    def _choose_by_load(
        self,
        usable: list[TrackedServer],
        flow: bytes,
        now: float,
        instance_count: int,
    ) -> TrackedServer:
        bound = _load_bound(usable, now)
        admitting = [each for each in usable if each.load(now) <= bound]
        choices = [
            tracked for tracked in admitting if tracked.server.zone == self._zone
        ] or admitting
        return self._choose_by_own_load(
            choices, flow, now, len(choices) / instance_count
        )

    def _choose_by_own_load(
        self,
        choices: list[TrackedServer],
        flow: bytes,
        now: float,
        servers_per_instance: float,
    ) -> TrackedServer:
        count = max(MIN_CHOICES, ceil(servers_per_instance * RUSH_LIMIT))
        if count < len(choices):
            choices = nlargest(
                count, choices, key=lambda tracked: _hash_fraction(flow, tracked.tag)
            )
        own_loads = [tracked.own_load(now) for tracked in choices]
        tolerance = LOAD_TOLERANCE * sum(own_loads) / len(own_loads) + 1e-9

        def score(choice: tuple[TrackedServer, float]) -> float:
            tracked, own_load = choice
            return own_load + _hash_fraction(flow, tracked.tag) * tolerance

        return min(zip(choices, own_loads, strict=True), key=score)[0]


def _load_bound(servers: Collection[TrackedServer], now: float) -> float:
    """Return the load above which a server gets no new flows."""
    mean = sum(tracked.load(now) for tracked in servers) / len(servers)
    return LOAD_BOUND * mean + 1e-9


def _sample(servers: Sequence[TrackedServer], flow: bytes) -> list[TrackedServer]:
    """Return at most `MAX_SAMPLE` different servers, chosen by the hash of a flow."""
    count = len(servers)
    if count <= MAX_SAMPLE:
        return list(servers)
    indexes = {xxh32_intdigest(flow, seed=n) % count for n in range(MAX_SAMPLE)}
    return [servers[index] for index in sorted(indexes)]


def _hash_fraction(flow: bytes, tag: int) -> float:
    """Return a hash of a flow and a server as a number from 0 to 1."""
    return xxh32_intdigest(flow, seed=tag) / 2**32
