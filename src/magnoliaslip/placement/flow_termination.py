"""Closing and eviction of recorded flows."""

from magnoliaslip.placement.delayed_removal import DelayedRemovalQueue
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import FlowFlag, FlowRecord
from magnoliaslip.placement.state import PlacementState
from magnoliaslip.placement.unresponsive_flows import UnresponsiveFlowDetector


class FlowTermination:
    """Closes flows, and removes the records of closed and evicted flows.

    Args:
        state: State of the router.
        exceptions: The exceptions held by this instance.

    Attributes:
        unresponsive_flows: Detects established flows without answers.
    """

    __slots__ = ("_delayed_removals", "_exceptions", "_state", "unresponsive_flows")

    def __init__(self, state: PlacementState, exceptions: ExceptionStore) -> None:
        self._state = state
        self._exceptions = exceptions
        self._delayed_removals = DelayedRemovalQueue()
        self.unresponsive_flows = UnresponsiveFlowDetector()

    def tick(self, now: float) -> None:
        """Remove the records of closed flows after their delay."""
        state = self._state
        for key in self._delayed_removals.due(now):
            key_hash = flow_hash(key)
            record = state.records.get(key, key_hash)
            if record is not None and record.flags & FlowFlag.CLOSED:
                self.remove(key, key_hash, record, now)

    def record_fin(self, packet: FlowPacket, record: FlowRecord, fin: int) -> None:
        """Record the FIN of one side, and close the flow after the FINs of both.

        Args:
            packet: The packet with the FIN.
            record: Record of the flow.
            fin: `FlowFlag.FIN_CALLER` or `FlowFlag.FIN_SERVER`.
        """
        state = self._state
        flags = record.flags | fin
        both = FlowFlag.FIN_CALLER | FlowFlag.FIN_SERVER
        service = state.services[record.service]
        service.load.remove_flow(record.server, packet.key)
        if flags & both == both:
            self.close(packet, state.now())
        else:
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))

    def close(self, packet: FlowPacket, now: float) -> None:
        """Mark a flow as closed; its record is kept for delayed packets."""
        state = self._state
        state.half_open.remove(packet.key)
        self.unresponsive_flows.remove(packet.key)
        record = state.records.get(packet.key, packet.hash)
        if record is None:
            return
        state.services[record.service].load.remove_flow(record.server, packet.key)
        if not record.flags & FlowFlag.CLOSED:
            flags = record.flags | FlowFlag.CLOSED
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))
            self._delayed_removals.add(packet.key, now)

    def remove(self, key: bytes, key_hash: int, record: FlowRecord, now: float) -> None:
        """Remove a record; as the owner also its exception at the replicas."""
        service = self._state.services[record.service]
        self._exceptions.remove_record(key, key_hash, service, now)

    def evict_if_full(self, now: float) -> None:
        """Evict a flow if there are too many records."""
        records = self._state.records
        flow = records.eviction_candidate()
        if flow is not None:
            key, record = flow
            self.remove(key, flow_hash(key), record, now)
            records.evicted += 1
            self._state.counters["records_evicted"] += 1
