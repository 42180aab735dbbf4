"""Finds the server of packets that need not go through their owner."""

from magnoliaslip.core.address import Address
from magnoliaslip.packet.flow_key import FlowKey
from magnoliaslip.placement.epochs import NOT_DIRECT
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.records import FlowFlag
from magnoliaslip.placement.service import BUCKET_CODE_SHIFT, Service
from magnoliaslip.placement.state import PlacementState


class DirectPaths:
    """Determines where a mid-flow packet may be sent directly, and until when.

    Args:
        state: State of the router.
        exceptions: The exceptions held by this instance.

    Attributes:
        deadline: Monotonic time until which results are valid; 0 for not at all.
    """

    __slots__ = ("_exceptions", "_state", "deadline")

    def __init__(self, state: PlacementState, exceptions: ExceptionStore) -> None:
        self._state = state
        self._exceptions = exceptions
        self.deadline = 0.0

    def default_server(self, key: FlowKey, service: Service, bucket: int) -> int | None:
        """Return the default's number if all members certify the bucket, else None."""
        state = self._state
        code = service.index << BUCKET_CODE_SHIFT | bucket
        if (
            state.now() >= self.deadline
            or state.certificates.is_dirty(code)
            or self._exceptions.buckets.is_dirty(code)
        ):
            return None
        if state.former_services:
            former_service = state.former_services.get(key[4:8] + key[10:12])
            if former_service is not None and state.now() < former_service[1]:
                return None
        number = service.epochs.direct_default(bucket)
        return number if number < NOT_DIRECT else None

    def recorded_address(
        self, key: FlowKey, key_hash: int, service: Service, bucket: int
    ) -> Address | None:
        """Return the address of an established flow's server by record, else None.

        Exceptions are valid on every member that holds them, other records on the
        owner.
        """
        state = self._state
        record = state.records.get(key, key_hash)
        if record is None or not record.flags & FlowFlag.ESTABLISHED:
            return None
        if record.flags & (FlowFlag.CLOSED | FlowFlag.ASSUMED):
            return None
        if not record.flags & FlowFlag.EXCEPTION and not state.owns(service, bucket):
            return None
        server = state.services[record.service].servers[record.server]
        return None if server.zone in state.snapshot.zones_out else server.address

    def refresh(self, now: float) -> None:
        """Set the deadline from the certificates.

        If it becomes earlier, `direct_generation` of the state increases.
        """
        state = self._state
        if state.suspect or state.policy in ("owner", "replicated"):
            deadline = 0.0
        elif state.policy == "stateless":
            deadline = float("inf")
        else:
            deadline = state.certificates.deadline()
        if deadline <= now:
            deadline = 0.0
        if deadline < self.deadline:
            state.direct_generation += 1
        self.deadline = deadline
