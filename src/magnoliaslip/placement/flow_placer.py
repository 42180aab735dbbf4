"""Places new flows at the owner of their bucket."""

from logging import getLogger

from magnoliaslip.core.events import Event, log_event
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.flow_termination import FlowTermination
from magnoliaslip.placement.forwarder import Forwarder
from magnoliaslip.placement.half_open import (
    ANSWER_TRANSIT_S,
    UNANSWERED_SYN_LIMIT,
    HalfOpenFlow,
)
from magnoliaslip.placement.records import QUARTERS_PER_SECOND, FlowFlag, FlowRecord
from magnoliaslip.placement.server_selector import Choice, ServerSelector
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# Callers do not retransmit a SYN after this time, so a later SYN with the same key
# belongs to a new connection.
SYN_RETRANSMISSION_S = 60.0

_logger = getLogger(__name__)


class FlowPlacer:
    """Places new flows, holds SYNs until replicas acknowledge, and retries refusals.

    Args:
        state: State of the router.
        forwarder: Forwards, relays and drops packets.
        exceptions: The exceptions held by this instance.
        termination: Closes flows and removes their records.

    Attributes:
        selector: Chooses servers.
    """

    __slots__ = ("_exceptions", "_forwarder", "_state", "_termination", "selector")

    def __init__(
        self,
        state: PlacementState,
        forwarder: Forwarder,
        exceptions: ExceptionStore,
        termination: FlowTermination,
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._exceptions = exceptions
        self._termination = termination
        self.selector = ServerSelector(state)

    def handle_syn(
        self, packet: FlowPacket, service: Service, record: FlowRecord | None
    ) -> None:
        """Place the flow of a SYN, or forward a retransmission to its server."""
        state = self._state
        now = state.now()
        half_open = state.half_open.get(packet.key)
        if half_open is not None and half_open.barrier is not None:
            half_open.set_packet(packet, now)
            self._forwarder.drop(packet, "open_held")
            return
        if record is not None and not self._keeps_server(record, now):
            state.half_open.remove(packet.key)
            self._termination.remove(packet.key, packet.hash, record, now)
            state.direct_generation += 1
            record = None
        certain = record is not None and not record.flags & FlowFlag.ASSUMED
        if not certain and self.defer(packet, service, now):
            return
        if record is None:
            self._place_new_flow(packet, service, now)
            return
        if not state.owns(service, packet.bucket):
            self._exceptions.send_to_owner(packet.key, packet.hash, service, now)
        if half_open is None:
            # The server may answer the new SYN with another initial sequence number.
            state.records.put(packet.key, packet.hash, record._replace(isn=0))
            half_open = HalfOpenFlow(
                packet, record.service, record.server, "record", now
            )
            state.half_open.add(packet.key, half_open)
        half_open.set_packet(packet, now)
        if half_open.refusals and half_open.may_reassign(now):
            if not self.reassign(half_open, state.services[record.service], now):
                self._forwarder.drop(packet, "no_backend_server")
            return
        if half_open.sent + 1 == UNANSWERED_SYN_LIMIT:
            service = state.services[record.service]
            self.record_refusal(service, record.server, now, unanswered=True)
        self._send_syn(half_open, now, reason=record_reason(record))

    def release_held(self, now: float) -> None:
        """Forward the held SYNs whose barrier is released."""
        state = self._state
        if not state.half_open.held or state.suspect:
            return
        for key, half_open in list(state.half_open.held.items()):
            if half_open.barrier is None or half_open.barrier.is_released(now):
                del state.half_open.held[key]
                half_open.barrier = None
                service = state.services[half_open.service]
                if state.owns(service, half_open.packet.bucket) or state.leaving:
                    if self._may_be_placed_elsewhere(half_open, now):
                        self._discard_stale(half_open, service, now)
                    else:
                        self._send_syn(half_open, now)
                else:
                    self._abandon_held(half_open, service, now)

    def mark_held_assumed(self) -> None:
        """Stop holding SYNs and mark their records as assumed; the view is suspect.

        Another instance may have placed these flows in the meantime. The records are
        kept because they match the exceptions that replicas hold.
        """
        state = self._state
        for key, half_open in list(state.half_open.held.items()):
            state.half_open.remove(key)
            key_hash = half_open.packet.hash
            record = state.records.get(key, key_hash)
            if record is not None:
                flags = record.flags | FlowFlag.ASSUMED
                state.records.put(key, key_hash, record._replace(flags=flags))

    def reassign(self, half_open: HalfOpenFlow, service: Service, now: float) -> bool:
        """Place a refused flow on another server; return whether there is one."""
        packet = half_open.packet
        service.load.remove_flow(half_open.server, packet.key)
        choice = self.selector.choose(
            service, packet.bucket, now, exclude=half_open.tried
        )
        if choice is None:
            return False
        log_event(
            _logger,
            Event.FLOW_REPLACED,
            flow=packet.key.hex(),
            service=service.name,
            refused_by=service.servers[half_open.server].name,
            server=service.servers[choice.number].name,
        )
        half_open.assign(choice.number, "retry")
        self._assign_server(half_open, service, choice, now)
        return True

    def defer(self, packet: FlowPacket, service: Service, now: float) -> bool:
        """Relay or drop a packet of an unknown flow while its bucket is not settled.

        The flow has no record here or an assumed one; see `Service.is_settled`.

        Only one replica must acknowledge an exception before its SYN is forwarded, and
        the new owner of the slice may be another one. A member that advertises the
        bucket as dirty receives the packet, and relays it back if it has no record of
        the flow either. While the dirty buckets of a member are not known, the packet
        is dropped; the sender retransmits it.

        Returns:
            Whether the packet was relayed or dropped.
        """
        bucket = packet.bucket
        if packet.hops >= 2 or service.is_settled(bucket, now):
            return False
        state = self._state
        if state.policy != "exceptions":
            return False
        peers = state.peers_in_view()
        dirty_peer = state.certificates.first_dirty_peer(service.code(bucket), peers)
        if dirty_peer is not None:
            self._forwarder.relay(packet, dirty_peer)
            return True
        recent = not service.slices.has_settled(bucket, now)
        if recent and not state.certificates.is_synced(now):
            self._forwarder.drop(packet, "takeover")
            return True
        return False

    def record_refusal(
        self, service: Service, number: int, now: float, *, unanswered: bool = False
    ) -> None:
        """Record a refused or unanswered SYN, and log it if a backoff begins."""
        new = not service.evidence.refusing_ms(number, now)
        delay = service.evidence.record_refusal(number, now, unanswered=unanswered)
        if new:
            log_event(
                _logger,
                Event.SERVER_REFUSING,
                service=service.name,
                server=service.servers[number].name,
                retry_in=f"{delay:.1f}",
            )

    def _discard_stale(
        self, half_open: HalfOpenFlow, service: Service, now: float
    ) -> None:
        """Drop a held SYN and its placement, as another owner may have placed the flow.

        No server has received this SYN. Replicas must not use the placement: they would
        forward packets of the caller's connection to a server that does not know it.
        """
        state, packet = self._state, half_open.packet
        state.half_open.remove(packet.key)
        service.load.remove_flow(half_open.server, packet.key)
        record = state.records.get(packet.key, packet.hash)
        if record is not None:
            self._termination.remove(packet.key, packet.hash, record, now)
            name = service.servers[half_open.server].name
            self._exceptions.revoke(service, packet.key, name, now)
        self._forwarder.drop(packet, "open_stale")

    def _may_be_placed_elsewhere(self, half_open: HalfOpenFlow, now: float) -> bool:
        """Check whether the other side of a partition may have placed a held flow.

        The caller retransmits the SYN soon if it still waits for an answer.
        """
        late = now - half_open.received_at > ANSWER_TRANSIT_S
        return late and not self._state.is_healed(now)

    def _keeps_server(self, record: FlowRecord, now: float) -> bool:
        """Check whether a further SYN of the flow goes to the recorded server.

        A SYN that is too late for a retransmission opens a new connection. It goes to
        that server only if the server still accepts new flows.
        """
        if record.flags & FlowFlag.CLOSED:
            return False
        state = self._state
        service = state.services[record.service]
        if service.servers[record.server].zone in state.snapshot.zones_out:
            return False
        age = now - record.opened_quarters / QUARTERS_PER_SECOND
        candidates = service.epochs.current.table.candidates
        return age < SYN_RETRANSMISSION_S or record.server in candidates

    def _place_new_flow(self, packet: FlowPacket, service: Service, now: float) -> None:
        if self._state.handling_held_packets:
            self._forwarder.drop(packet, "stale_open")
            return
        choice = self.selector.choose(service, packet.bucket, now)
        if choice is None:
            if self.selector.is_authoritative(service, packet.bucket, now):
                self._forwarder.refuse(packet, service)
            else:
                self._forwarder.drop(packet, "no_backend_server")
            return
        half_open = HalfOpenFlow(
            packet, service.index, choice.number, choice.reason, now
        )
        self._termination.evict_if_full(now)
        self._assign_server(half_open, service, choice, now)
        log_event(
            _logger,
            Event.FLOW_PLACED,
            flow=packet.key.hex(),
            service=service.name,
            server=service.servers[choice.number].name,
            reason=choice.reason,
        )

    def _assign_server(
        self, half_open: HalfOpenFlow, service: Service, choice: Choice, now: float
    ) -> None:
        """Record the server of a new flow, and forward or hold its SYN."""
        state, packet = self._state, half_open.packet
        key, key_hash = packet.key, packet.hash
        former = state.records.get(key, key_hash)
        flags = former.flags & FlowFlag.EXCEPTION if former else 0
        opened_quarters = int(now * QUARTERS_PER_SECOND)
        state.records.put(
            key,
            key_hash,
            FlowRecord(service.index, choice.number, flags, opened_quarters),
        )
        state.half_open.add(key, half_open)
        service.load.add_flow(choice.number, key, now)
        service.evidence.record_placement(choice.number, now)
        is_default = service.epochs.is_default(packet.bucket, choice.number)
        if is_default and state.policy != "replicated":
            if flags:
                half_open.barrier = self._exceptions.remove(key, key_hash, service, now)
                for log in state.logs.values():
                    log.flush(now, urgent=True)
        else:
            half_open.barrier = self._exceptions.add(
                key, key_hash, service, now, replaces=bool(flags)
            )
        if half_open.barrier is not None and not half_open.barrier.is_released(now):
            state.half_open.held[key] = half_open
            return
        half_open.barrier = None
        self._send_syn(half_open, now)

    def _send_syn(
        self, half_open: HalfOpenFlow, now: float, *, reason: str = ""
    ) -> None:
        state = self._state
        service = state.services[half_open.service]
        half_open.record_sent(now)
        text = reason or half_open.reason
        if not self._forwarder.to_server(
            half_open.packet, service, half_open.server, text
        ):
            self._termination.close(half_open.packet, now)

    def _abandon_held(
        self, half_open: HalfOpenFlow, service: Service, now: float
    ) -> None:
        """Drop a held SYN of a slice that moved; the new owner receives the next SYN.

        The new owner also decides about the replicas of the exception: it either has
        forwarded a SYN by its own replica already, or removes all of them.
        """
        state, packet = self._state, half_open.packet
        state.half_open.remove(packet.key)
        service.load.remove_flow(half_open.server, packet.key)
        self._exceptions.remove_replica(packet.key, packet.hash, service, now)
        owner = service.slices.owner(packet.bucket)
        log = state.logs.get(owner) if owner else None
        if log is not None:
            name = service.servers[half_open.server].name
            log.add_exception(service.name, packet.key, name, removed=True)
        self._forwarder.drop(packet, "slice_moved")


def record_reason(record: FlowRecord) -> str:
    """Return the reason for a forward by record, as history records state it."""
    return "exception" if record.flags & FlowFlag.EXCEPTION else "record"
