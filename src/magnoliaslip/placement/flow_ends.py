"""Ends and evictions of recorded flows."""

from magnoliaslip.placement.exceptions import ExceptionKeeper
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.linger import LingerQueue
from magnoliaslip.placement.records import FlowFlag, FlowRecord
from magnoliaslip.placement.silence import SilenceWatch
from magnoliaslip.placement.state import PlacementState


class FlowEnds:
    """Removes the records of flows that ended or make room.

    Args:
        state: State of the router.
        keeper: The exceptions held here.

    Attributes:
        silence: Flows without answers.
    """

    __slots__ = ("_keeper", "_linger", "_state", "silence")

    def __init__(self, state: PlacementState, keeper: ExceptionKeeper) -> None:
        self._state = state
        self._keeper = keeper
        self._linger = LingerQueue()
        self.silence = SilenceWatch()

    def tick(self, now: float) -> None:
        """Forget the flows that ended some time ago."""
        state = self._state
        for key in self._linger.due(now):
            key_hash = flow_hash(key)
            record = state.records.get(key, key_hash)
            if record is not None and record.flags & FlowFlag.ENDED:
                self.forget(key, key_hash, record, now)

    def note_fin(self, packet: FlowPacket, record: FlowRecord, fin: int) -> None:
        """Note the FIN of one side; both end the flow."""
        state = self._state
        flags = record.flags | fin
        both = FlowFlag.FIN_CALLER | FlowFlag.FIN_SERVER
        service = state.services[record.service]
        service.load.remove_flow(record.server, packet.key)
        if flags & both == both:
            self.end(packet, state.now())
        else:
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))

    def end(self, packet: FlowPacket, now: float) -> None:
        """Mark a flow as ended; its record stays for late packets."""
        state = self._state
        state.half_open.remove(packet.key)
        self.silence.forget(packet.key)
        record = state.records.get(packet.key, packet.hash)
        if record is None:
            return
        state.services[record.service].load.remove_flow(record.server, packet.key)
        if not record.flags & FlowFlag.ENDED:
            flags = record.flags | FlowFlag.ENDED
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))
            self._linger.add(packet.key, now)

    def forget(self, key: bytes, key_hash: int, record: FlowRecord, now: float) -> None:
        """Remove a record, and its exception everywhere."""
        service = self._state.services[record.service]
        self._keeper.forget_record(key, key_hash, service, now)

    def make_room(self, now: float) -> None:
        """Evict a flow when there are too many records."""
        records = self._state.records
        flow = records.overflow()
        if flow is not None:
            key, record = flow
            self.forget(key, flow_hash(key), record, now)
            records.evicted += 1
            self._state.counters["records_evicted"] += 1
