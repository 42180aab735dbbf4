"""Chooses a backend server for a new flow."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.load import ASSUMED_SLOTS, COLD_OPEN_SECONDS
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# A large pool is searched in samples: the least loaded of this many is close to the
# least loaded of all, and the cost of an overflow stays bounded.
SAMPLE = 64
FULL_SEARCH = 128


class Choice(NamedTuple):
    """The server of a new flow and why."""

    number: int
    reason: str


class Decider:
    """Applies the opening rules of an owner.

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
            exclude: Servers that refused this flow already.

        Returns:
            The choice; None when no server is left.
        """
        ignored = service.evidence.is_ignored(
            len(service.epochs.current.table.candidates), now
        )
        avoid = service.avoid
        if service.settled(bucket, now):
            # Just after a takeover the SYN may be a retransmission that the former
            # owner placed on its default, which must stay the same then.
            avoid |= self._state.view.unreachable_zones
        default = service.epochs.default(bucket)
        if (
            default != NO_SERVER
            and default not in exclude
            and service.servers[default].zone not in avoid
            and (ignored or not service.evidence.blocks(default, now))
            and self._default_admits(service, bucket, default, now)
        ):
            return Choice(default, "default")
        numbers = service.epochs.current.table.numbers
        number = None
        if len(numbers) > FULL_SEARCH:
            sample = self._state.rng.sample(numbers, SAMPLE)
            number = self._least_loaded(
                service, sample, now, ignored, exclude, avoid=avoid
            )
        if number is None:
            number = self._least_loaded(
                service, numbers, now, ignored, exclude, avoid=avoid
            )
        if number is None and avoid:
            number = self._least_loaded(
                service, numbers, now, ignored, exclude, avoid=frozenset()
            )
        if number is None:
            return None
        return Choice(number, "retry" if exclude else "overflow")

    def settled(self, service: Service, bucket: int, now: float) -> bool:
        """Return whether this owner may state that a flow was not run."""
        return self._state.hears_all(now) and service.settled(bucket, now)

    def _least_loaded(
        self,
        service: Service,
        numbers: Sequence[int],
        now: float,
        ignored: bool,
        exclude: Collection[int],
        *,
        avoid: frozenset[str],
    ) -> int | None:
        """Return the least loaded server that admits a flow, else a warm one."""
        best, best_load = None, float("inf")
        full, full_load = None, float("inf")
        blocks = service.evidence.blocks
        for number in numbers:
            if number in exclude or (not ignored and blocks(number, now)):
                continue
            if avoid and service.servers[number].zone in avoid:
                continue
            load, cold = self._relative_load(service, number, now)
            if load < 1.0 and load < best_load:
                best, best_load = number, load
            elif not cold and load < full_load:
                full, full_load = number, load
        return full if best is None else best

    def _default_admits(
        self, service: Service, bucket: int, number: int, now: float
    ) -> bool:
        """Return whether the default takes a flow.

        Just after a takeover the SYN may be a retransmission that the former owner
        placed on the default. A warm default then takes it beyond its slots, so that
        the flow does not reach two servers.
        """
        if self._admits(service, number, now):
            return True
        return not service.settled(bucket, now) and not service.load.is_cold(
            number, now
        )

    def _admits(self, service: Service, number: int, now: float) -> bool:
        return self._relative_load(service, number, now)[0] < 1.0

    def _relative_load(
        self, service: Service, number: int, now: float
    ) -> tuple[float, bool]:
        """Return work over limit, and whether the server is cold.

        A server without stated slots has no limit while it is warm; its load is then
        scaled so that it stays below 1.
        """
        load = service.load
        server = service.servers[number]
        if load.is_cold(number, now):
            limit = self._allotment(service, number, now)
            work = self._cold_work(service, number, now)
            return (work / limit if limit else float("inf")), True
        work = load.work(server, number, now)
        if not server.slots:
            return work / (work + ASSUMED_SLOTS), False
        return work / server.slots, False

    def _cold_work(self, service: Service, number: int, now: float) -> int:
        """Return opens within the part of the budget that this owner uses.

        Owners that are still live use their own part. The reports of those that left
        count, and all reports do after a takeover, because this owner may have taken
        over parts that were used already.
        """
        load, members = service.load, self._state.view.members
        own = load.own_work(number, now)
        reporters = load.reporters(number)
        if not service.slices.took_over(now, COLD_OPEN_SECONDS):
            reporters = [each for each in reporters if each not in members]
        if reporters:
            own += load.reported(
                number, now, among=reporters, max_age=COLD_OPEN_SECONDS
            )
        return own

    def _allotment(self, service: Service, number: int, now: float) -> int:
        state = self._state
        budget = service.load.budget(service.servers[number], number, state.view, now)
        seed = int.from_bytes(service.servers.seed(number), "big")
        slices = service.slices
        return service.load.allotment(budget, seed, slices.count, slices.owned)
