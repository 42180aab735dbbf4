"""Handles the packets of the flows whose bucket this instance owns."""

from logging import getLogger

from magnoliaslip.core.events import Event, log_event
from magnoliaslip.packet.flow_key import ACK, FIN, RST, SYN
from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.flow_placer import FlowPlacer, record_reason
from magnoliaslip.placement.flow_termination import FlowTermination
from magnoliaslip.placement.forwarder import Forwarder
from magnoliaslip.placement.half_open import HalfOpenFlow
from magnoliaslip.placement.records import QUARTERS_PER_SECOND, FlowFlag, FlowRecord
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

SEQUENCE_MASK = 0xFFFFFFFF

# A record without any of these flags belongs to a flow that no server has answered.
_STATE_FLAGS = FlowFlag.ESTABLISHED | FlowFlag.CLOSED | FlowFlag.ASSUMED
# Within this time an answer takes up less than half of the sequence space, so
# acknowledgement numbers can still be compared with the initial sequence number.
ACK_CHECK_S = 30.0

_logger = getLogger(__name__)


class Owner:
    """Maintains the records of flows and forwards their packets.

    Args:
        state: State of the router.
        forwarder: Forwards, relays and drops packets.
        exceptions: The exceptions held by this instance.

    Attributes:
        placer: Places new flows.
    """

    __slots__ = ("_exceptions", "_forwarder", "_state", "_termination", "placer")

    def __init__(
        self, state: PlacementState, forwarder: Forwarder, exceptions: ExceptionStore
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._exceptions = exceptions
        self._termination = FlowTermination(state, exceptions)
        self.placer = FlowPlacer(state, forwarder, exceptions, self._termination)

    def handle_request(self, packet: FlowPacket, service: Service) -> None:
        """Handle a packet from the caller."""
        state = self._state
        record = state.records.get(packet.key, packet.hash)
        if packet.is_syn:
            self.placer.handle_syn(packet, service, record)
        elif record is None:
            self._forward_unrecorded(packet, service)
        elif not (
            record.flags & FlowFlag.ASSUMED
            and self.placer.defer(packet, service, state.now())
        ):
            self._forward_recorded(packet, record)

    def handle_answer(self, packet: FlowPacket, service: Service) -> None:
        """Handle a SYN-ACK, FIN or RST from the backend server."""
        state = self._state
        record = state.records.get(packet.key, packet.hash)
        if packet.flags & RST:
            self._handle_server_reset(packet, service, record)
            return
        if packet.flags & SYN:
            self._handle_syn_ack(packet, record)
            return
        if record is not None:
            self._termination.record_fin(packet, record, FlowFlag.FIN_SERVER)
        self._forwarder.to_caller(packet)

    def tick(self, now: float) -> None:
        """Release held SYNs, and remove closed and timed-out flows."""
        state = self._state
        self.placer.release_held(now)
        state.half_open.expire(now)
        self._termination.tick(now)

    def _forward_recorded(self, packet: FlowPacket, record: FlowRecord) -> None:
        state = self._state
        now = state.now()
        service = state.services[record.service]
        half_open = state.half_open.get(packet.key)
        if half_open is not None and not half_open.sent:
            if not half_open.is_followed_by(packet):
                # A delayed packet of an earlier connection with the same key.
                self._forwarder.drop(packet, "open_held")
                return
            # The caller's connection is established, so another owner placed the flow
            # in the meantime.
            self._abandon_placement(packet, record, now)
            self._forward_unrecorded(packet, service)
            return
        if _acknowledges_other_syn_ack(packet, record, now):
            # The caller accepted the SYN-ACK of another server: during a partition a
            # second owner placed the flow as well.
            self._abandon_placement(packet, record, now)
            self._forward_unrecorded(packet, service)
            return
        if _is_uncertain(record) and self._is_out(service, record.server):
            # The flow may be at another server, which must not lose it.
            self._abandon_placement(packet, record, now)
            self._forward_unrecorded(packet, service)
            return
        if not self._forwarder.to_server(
            packet, service, record.server, record_reason(record)
        ):
            self._termination.close(packet, now)
            return
        if packet.flags & RST:
            self._termination.close(packet, now)
        elif packet.flags & FIN:
            self._termination.record_fin(packet, record, FlowFlag.FIN_CALLER)
        elif packet.payload and not record.flags & FlowFlag.PAYLOAD:
            flags = record.flags | FlowFlag.PAYLOAD
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))
            state.half_open.remove(packet.key)
        if packet.payload and self._termination.unresponsive_flows.record_payload(
            packet.key, packet.seq, now
        ):
            state.counters["flows_silent"] += 1
            log_event(
                _logger,
                Event.FLOW_SILENT,
                flow=packet.key.hex(),
                service=service.name,
                server=service.servers[record.server].name,
            )

    def _forward_unrecorded(self, packet: FlowPacket, service: Service) -> None:
        """Forward a mid-flow packet of a flow that has no record here."""
        state = self._state
        now = state.now()
        bucket = packet.bucket
        if self.placer.defer(packet, service, now):
            return
        former_service = state.former_services.get(packet.service_key)
        if former_service is not None and now < former_service[1]:
            service = former_service[0]
        number = service.epochs.base_default(bucket)
        if number == NO_SERVER:
            self._forwarder.drop(packet, "no_backend_server")
            return
        current = service.epochs.current_default(bucket)
        reason = "default" if number == current else "base"
        sent = self._forwarder.to_server(packet, service, number, reason)
        if sent and not packet.flags & (FIN | RST):
            self._termination.evict_if_full(now)
            flags = FlowFlag.ESTABLISHED | FlowFlag.ASSUMED
            opened_quarters = int(now * QUARTERS_PER_SECOND)
            state.records.put(
                packet.key,
                packet.hash,
                FlowRecord(service.index, number, flags, opened_quarters),
            )

    def _is_out(self, service: Service, number: int) -> bool:
        zone = service.servers[number].zone
        return zone in self._state.snapshot.zones_out

    def _handle_syn_ack(self, packet: FlowPacket, record: FlowRecord | None) -> None:
        """Forward the SYN-ACK of the flow's server; drop those of other servers."""
        state = self._state
        half_open = state.half_open.get(packet.key)
        if half_open is not None:
            expected = (half_open.packet.seq + 1) & SEQUENCE_MASK
            if half_open.barrier is not None or packet.ack != expected:
                self._forwarder.drop(packet, "stale_syn_ack")
                return
        if record is None:
            self._forwarder.to_caller(packet)
            return
        if record.isn and record.isn != packet.seq:
            self._forwarder.drop(packet, "stale_syn_ack")
            return
        if not record.isn:
            now = state.now()
            flags = (record.flags | FlowFlag.ESTABLISHED) & ~FlowFlag.ASSUMED
            state.records.put(
                packet.key,
                packet.hash,
                record._replace(flags=flags, isn=packet.seq),
            )
            state.half_open.remove(packet.key)
            service = state.services[record.service]
            if service.evidence.record_acceptance(record.server, now):
                self._begin_slow_start(
                    service, record.server, now, Event.SERVER_ACCEPTING
                )
        self._forwarder.to_caller(packet)

    def _handle_server_reset(
        self, packet: FlowPacket, service: Service, record: FlowRecord | None
    ) -> None:
        state = self._state
        now = state.now()
        half_open = state.half_open.get(packet.key)
        if half_open is not None and record is not None:
            expected = (half_open.packet.seq + 1) & SEQUENCE_MASK
            if packet.flags & ACK and packet.ack == expected:
                self._handle_refusal(packet, half_open, record, now)
                return
        if record is not None and record.isn and packet.flags & ACK and not packet.seq:
            # A delayed refusal of an earlier SYN: only refusals have sequence number 0.
            self._forwarder.drop(packet, "stale_reset")
            return
        authoritative = self.placer.selector.is_authoritative(
            service, packet.bucket, now
        )
        if record is not None and not packet.flags & ACK:
            if not authoritative and self._switch_to_conflicting_server(
                packet, record, now
            ):
                self._forwarder.drop(packet, "uncertain_reset")
                return
            if not record.flags & _STATE_FLAGS:
                self._handle_unanswered_flow_reset(packet, half_open, record, now)
                return
        # During and shortly after a partition, the reset may come from a server that
        # received the packet from the other side.
        certain = (
            record is not None
            and not record.flags & FlowFlag.ASSUMED
            and (packet.flags & ACK or state.all_members_reachable(now))
        )
        if not certain and not authoritative:
            self._forwarder.drop(packet, "uncertain_reset")
            return
        if record is not None:
            # An assumed server may be wrong: after a zone is taken out, packets of its
            # flows reach servers that have no such connection.
            state_flags = record.flags & (
                FlowFlag.ESTABLISHED | FlowFlag.CLOSED | FlowFlag.ASSUMED
            )
            if not packet.flags & ACK and state_flags == FlowFlag.ESTABLISHED:
                record_service = state.services[record.service]
                if record_service.evidence.record_unknown_reset(record.server, now):
                    self._begin_slow_start(
                        record_service, record.server, now, Event.SERVER_COLD
                    )
            self._termination.close(packet, now)
        self._forwarder.to_caller(packet)

    def _switch_to_conflicting_server(
        self, packet: FlowPacket, record: FlowRecord, now: float
    ) -> bool:
        """Switch to the other server of a flow that two owners placed.

        The reset may also have come from the other server, for a packet that another
        member sent there; the next reset then switches back.

        Returns:
            Whether the flow was switched.
        """
        service = self._state.services[record.service]
        number = self._exceptions.conflicts.swap(packet.key, record.server, now)
        if number is None:
            return False
        state = self._state
        state.half_open.remove(packet.key)
        service.load.remove_flow(record.server, packet.key)
        flags = record.flags & FlowFlag.EXCEPTION | FlowFlag.ESTABLISHED
        state.records.put(
            packet.key,
            packet.hash,
            record._replace(server=number, flags=flags, isn=0),
        )
        self._exceptions.add(packet.key, packet.hash, service, now, replaces=True)
        former = service.servers[record.server].name
        self._exceptions.revoke(service, packet.key, former, now)
        state.direct_generation += 1
        return True

    def _handle_unanswered_flow_reset(
        self,
        packet: FlowPacket,
        half_open: HalfOpenFlow | None,
        record: FlowRecord,
        now: float,
    ) -> None:
        """Drop the reset of a mid-flow packet for a flow without a SYN-ACK.

        The caller sends mid-flow packets, so another server accepted the flow: during
        a partition its SYN also reached an owner on the other side. The placement is
        removed, and a server is chosen again for the caller's next packet, unless the
        SYN was forwarded and may still be answered.
        """
        if half_open is None or half_open.barrier is not None:
            self._abandon_placement(packet, record, now)
        if half_open is None:
            # The reset may come from another server, and this one have the flow.
            self._exceptions.conflicts.add(
                packet.key, record.server, now, was_used=True
            )
        self._forwarder.drop(packet, "uncertain_reset")

    def _abandon_placement(
        self, packet: FlowPacket, record: FlowRecord, now: float
    ) -> None:
        """Remove a placement that the caller does not use, and its replicas."""
        state = self._state
        state.half_open.remove(packet.key)
        service = state.services[record.service]
        service.load.remove_flow(record.server, packet.key)
        self._termination.remove(packet.key, packet.hash, record, now)
        if record.flags & FlowFlag.EXCEPTION:
            server = service.servers[record.server].name
            self._exceptions.revoke(service, packet.key, server, now)
        state.direct_generation += 1

    def _handle_refusal(
        self,
        packet: FlowPacket,
        half_open: HalfOpenFlow,
        record: FlowRecord,
        now: float,
    ) -> None:
        """Place a refused flow on another server, or forward the refusal."""
        state = self._state
        service = state.services[record.service]
        if half_open.barrier is not None:
            self._forwarder.drop(packet, "stale_reset")
            return
        half_open.refusals += 1
        self.placer.record_refusal(service, record.server, now)
        if record.flags & (FlowFlag.ESTABLISHED | FlowFlag.PAYLOAD):
            self._termination.close(packet, now)
            self._forwarder.to_caller(packet)
            return
        if not half_open.may_reassign(now):
            # Another transmission of the SYN is unanswered. The flow is reassigned at
            # the caller's next retransmission, when no answer can be in transit.
            self._forwarder.drop(packet, "stale_reset")
            return
        if not self.placer.reassign(half_open, service, now):
            self._termination.close(packet, now)
            self._forwarder.to_caller(packet)

    def _begin_slow_start(
        self, service: Service, number: int, now: float, event: Event
    ) -> None:
        if service.load.begin_slow_start(number, now):
            log_event(
                _logger,
                event,
                service=service.name,
                server=service.servers[number].name,
            )


def _is_uncertain(record: FlowRecord) -> bool:
    """Check whether the flow may be at another server than the recorded one."""
    return bool(record.flags & FlowFlag.ASSUMED) or not record.flags & _STATE_FLAGS


def _acknowledges_other_syn_ack(
    packet: FlowPacket, record: FlowRecord, now: float
) -> bool:
    """Check whether a caller acknowledges another SYN-ACK than the recorded one.

    Only the first packets of a flow are checked: later, a long answer may have used up
    half of the sequence space.
    """
    if not record.isn or not packet.flags & ACK or record.flags & FlowFlag.PAYLOAD:
        return False
    if now - record.opened_quarters / QUARTERS_PER_SECOND > ACK_CHECK_S:
        return False
    return (packet.ack - record.isn - 1) & SEQUENCE_MASK > SEQUENCE_MASK // 2
