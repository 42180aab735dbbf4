"""Chooses a backend server for a new flow."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.load import ASSUMED_SLOTS, COLD_NEW_FLOW_S
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# Pools above MAX_FULL_SEARCH servers are sampled: the least loaded of the sample is
# close to the least loaded of all, and the cost of an overflow stays bounded.
SAMPLE_SIZE = 64
MAX_FULL_SEARCH = 128


class Choice(NamedTuple):
    """The server of a new flow and the reason.

    Attributes:
        number: Number of the server.
        reason: ``default``, ``overflow`` or ``retry``, as stated in history records.
    """

    number: int
    reason: str


class ServerSelector:
    """Applies the rules by which an owner places new flows.

    Args:
        state: State of the router.
    """

    __slots__ = ("_state",)

    def __init__(self, state: PlacementState) -> None:
        self._state = state

    def choose(
        self,
        service: Service,
        bucket: int,
        now: float,
        *,
        exclude: Collection[int] = (),
    ) -> Choice | None:
        """Choose a server.

        Args:
            service: The service.
            bucket: Bucket of the flow.
            now: Monotonic time in seconds.
            exclude: Numbers of the servers that have refused this flow.

        Returns:
            The choice; None when no server is left.
        """
        ignore_evidence = service.evidence.is_ignored(
            len(service.epochs.current.table.candidates), now
        )
        avoid = service.avoided_zones
        if service.is_settled(bucket, now):
            # Not shortly after a takeover: then the SYN may be a retransmission that
            # the former owner placed on the default, which must stay the same.
            avoid |= self._state.view.unreachable_zones
        default = service.epochs.current_default(bucket)
        if (
            default != NO_SERVER
            and default not in exclude
            and service.servers[default].zone not in avoid
            and (ignore_evidence or not service.evidence.blocks(default, now))
            and self._default_admits(service, bucket, default, now)
        ):
            return Choice(default, "default")
        numbers = service.epochs.current.table.numbers
        number = None
        if len(numbers) > MAX_FULL_SEARCH:
            sample = self._state.rng.sample(numbers, SAMPLE_SIZE)
            number = self._least_loaded(
                service, sample, now, ignore_evidence, exclude, avoid=avoid
            )
        if number is None:
            number = self._least_loaded(
                service, numbers, now, ignore_evidence, exclude, avoid=avoid
            )
        if number is None and avoid:
            number = self._least_loaded(
                service, numbers, now, ignore_evidence, exclude, avoid=frozenset()
            )
        if number is None:
            return None
        return Choice(number, "retry" if exclude else "overflow")

    def is_authoritative(self, service: Service, bucket: int, now: float) -> bool:
        """Check whether this owner may report that no server has the flow."""
        return self._state.all_members_reachable(now) and service.is_settled(
            bucket, now
        )

    def _least_loaded(
        self,
        service: Service,
        numbers: Sequence[int],
        now: float,
        ignore_evidence: bool,
        exclude: Collection[int],
        *,
        avoid: frozenset[str],
    ) -> int | None:
        """Return the least loaded server that admits a flow.

        When none admits one, the least loaded warm server is returned.
        """
        best, best_load = None, float("inf")
        warm_full, warm_full_load = None, float("inf")
        blocks = service.evidence.blocks
        for number in numbers:
            if number in exclude or (not ignore_evidence and blocks(number, now)):
                continue
            if avoid and service.servers[number].zone in avoid:
                continue
            load, cold = self._relative_load(service, number, now)
            if load < 1.0 and load < best_load:
                best, best_load = number, load
            elif not cold and load < warm_full_load:
                warm_full, warm_full_load = number, load
        return warm_full if best is None else best

    def _default_admits(
        self, service: Service, bucket: int, number: int, now: float
    ) -> bool:
        """Check whether the default server admits a flow.

        Shortly after a takeover the SYN may be a retransmission that the former owner
        placed on the default. A warm default then admits it beyond its slots, so that
        the flow does not reach two servers.
        """
        if self._admits(service, number, now):
            return True
        return not service.is_settled(bucket, now) and not service.load.is_cold(
            number, now
        )

    def _admits(self, service: Service, number: int, now: float) -> bool:
        return self._relative_load(service, number, now)[0] < 1.0

    def _relative_load(
        self, service: Service, number: int, now: float
    ) -> tuple[float, bool]:
        """Return the load relative to its limit, and whether the server is cold.

        A warm server without configured slots has no limit; its load is scaled to stay
        below 1.
        """
        load = service.load
        server = service.servers[number]
        if load.is_cold(number, now):
            limit = self._budget_share(service, number, now)
            in_flight = self._cold_in_flight(service, number, now)
            return (in_flight / limit if limit else float("inf")), True
        in_flight = load.in_flight(server, number, now)
        if not server.slots:
            return in_flight / (in_flight + ASSUMED_SLOTS), False
        return in_flight / server.slots, False

    def _cold_in_flight(self, service: Service, number: int, now: float) -> int:
        """Return the new flows counted against this owner's share of the budget.

        Owners that are still live use their own share. Reports of owners that left are
        counted, and after a takeover all reports are, because this owner may have
        received shares that were already used.
        """
        load, members = service.load, self._state.view.members
        own = load.own_in_flight(number, now)
        reporters = load.reporters(number)
        if not service.slices.gained_ownership(now, COLD_NEW_FLOW_S):
            reporters = [each for each in reporters if each not in members]
        if reporters:
            own += load.reported(
                number, now, among=reporters, max_age_s=COLD_NEW_FLOW_S
            )
        return own

    def _budget_share(self, service: Service, number: int, now: float) -> int:
        state = self._state
        budget = service.load.budget(service.servers[number], number, state.view, now)
        seed = int.from_bytes(service.servers.seed(number), "big")
        slices = service.slices
        return service.load.budget_share(budget, seed, slices.count, slices.owned)
