"""Selection of a backend server for a new flow."""

from collections.abc import Collection

from xxhash import xxh32_intdigest

from magnoliaslip.steering.servers import TrackedServer

# A server of the instance's own availability zone is preferred up to this multiple of
# the mean load of the usable servers (bounded loads).
LOAD_BOUND = 1.25
# Servers whose loads differ by less than this share of the mean may rank in either
# order, by a hash of the flow.
LOAD_TOLERANCE = 0.1


class LeastLoadedSelector:
    """Chooses the least loaded server; prefers the own availability zone.

    Args:
        zone: Availability zone of this instance.
    """

    __slots__ = ("_zone",)

    def __init__(self, zone: str) -> None:
        self._zone = zone

    def choose(
        self,
        candidates: Collection[TrackedServer],
        flow: bytes,
        now: float,
        *,
        tried: Collection[TrackedServer] = (),
        cold_opens_per_s: float = 0.0,
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
            tried: Servers that did not answer this flow, or another of its caller.
            cold_opens_per_s: New flows per second that this instance may place on a
                cold server; 0 for no limit.
        """
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
            return self._least_loaded(warm, flow, now)
        if cold_opens_per_s:
            usable = [
                tracked
                for tracked in usable
                if tracked.warm_up.available(now, cold_opens_per_s)
            ]
        if not usable:
            return None
        return self._least_loaded(usable, flow, now)

    def _least_loaded(
        self, usable: list[TrackedServer], flow: bytes, now: float
    ) -> TrackedServer:
        loads = {tracked.tag: tracked.load(now) for tracked in usable}
        mean = sum(loads.values()) / len(loads)
        tolerance = mean * LOAD_TOLERANCE + 1e-9

        def score(tracked: TrackedServer) -> float:
            return loads[tracked.tag] + _hash_fraction(flow, tracked.tag) * tolerance

        same_zone = [tracked for tracked in usable if tracked.server.zone == self._zone]
        if same_zone:
            best = min(same_zone, key=score)
            if loads[best.tag] <= LOAD_BOUND * mean + tolerance:
                return best
        return min(usable, key=score)


def _hash_fraction(flow: bytes, tag: int) -> float:
    """Return a hash of a flow and a server as a number from 0 to 1."""
    return xxh32_intdigest(flow, seed=tag) / 2**32
