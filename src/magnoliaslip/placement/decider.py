"""Chooses a backend server for a new flow."""

from collections.abc import Collection
from typing import NamedTuple

from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.load import COLD_OPEN_SECONDS
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# A large pool is searched in samples: the least loaded of this many is close to the
# least loaded of all, and the cost of an overflow stays bounded.
SAMPLE = 32
FULL_SEARCH = 64


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
        default = service.epochs.default(bucket)
        if (
            default != NO_SERVER
            and default not in exclude
            and (ignored or not service.evidence.blocks(default, now))
            and self._default_admits(service, bucket, default, now)
        ):
            return Choice(default, "default")
        eligible = self._eligible(service, now, ignored, exclude)
        number = self._least_loaded(service, eligible, now)
        if number is None:
            return None
        return Choice(number, "retry" if exclude else "overflow")

    def settled(self, service: Service, bucket: int, now: float) -> bool:
        """Return whether this owner may state that a flow was not run."""
        return self._state.view.complete and service.settled(bucket, now)

    def _eligible(
        self, service: Service, now: float, ignored: bool, exclude: Collection[int]
    ) -> list[int]:
        evidence = service.evidence
        return [
            number
            for number in service.epochs.current.table.candidates
            if number not in exclude and (ignored or not evidence.blocks(number, now))
        ]

    def _least_loaded(
        self, service: Service, eligible: list[int], now: float
    ) -> int | None:
        if len(eligible) > FULL_SEARCH:
            sample = self._state.rng.sample(eligible, SAMPLE)
            number = self._least_admitting(service, sample, now)
            if number is not None:
                return number
        number = self._least_admitting(service, eligible, now)
        if number is not None:
            return number
        warm = [each for each in eligible if not service.load.is_cold(each, now)]
        return min(
            warm, key=lambda each: self._relative_load(service, each, now), default=None
        )

    def _least_admitting(
        self, service: Service, numbers: list[int], now: float
    ) -> int | None:
        admitting = [each for each in numbers if self._admits(service, each, now)]
        return min(
            admitting,
            key=lambda each: self._relative_load(service, each, now),
            default=None,
        )

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
        server = service.servers[number]
        if service.load.is_cold(number, now):
            return self._cold_work(service, number, now) < self._allotment(
                service, number, now
            )
        return not server.slots or service.load.work(server, number, now) < server.slots

    def _relative_load(self, service: Service, number: int, now: float) -> float:
        server = service.servers[number]
        if service.load.is_cold(number, now):
            limit = max(1, self._allotment(service, number, now))
            return self._cold_work(service, number, now) / limit
        return service.load.work(server, number, now) / (server.slots or 1)

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
