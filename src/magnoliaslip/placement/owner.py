"""What the owner of a bucket does with the packets of its flows."""

from logging import getLogger

from magnoliaslip.core.events import Event, log_event
from magnoliaslip.packet.flow_key import ACK, FIN, RST, SYN
from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.decider import Choice, Decider
from magnoliaslip.placement.exceptions import ExceptionKeeper
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.forwarder import Forwarder
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.linger import LingerQueue
from magnoliaslip.placement.opens import SILENT_AFTER_PACKETS, PendingOpen
from magnoliaslip.placement.records import TICKS_PER_SECOND, FlowFlag, FlowRecord
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.silence import SilenceWatch
from magnoliaslip.placement.state import PlacementState

SEQUENCE_MASK = 0xFFFFFFFF
# No opening packet of the same connection is retransmitted after this long, so a
# later one opens a new connection.
REOPEN_SECONDS = 60.0

_logger = getLogger(__name__)


class Owner:
    """Places flows and keeps their records.

    Args:
        state: State of the router.
        forwarder: Sends packets on.
        keeper: The exceptions held here.
    """

    __slots__ = ("_decider", "_forwarder", "_keeper", "_silence", "_state", "linger")

    def __init__(
        self, state: PlacementState, forwarder: Forwarder, keeper: ExceptionKeeper
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._keeper = keeper
        self._decider = Decider(state)
        self._silence = SilenceWatch()
        self.linger = LingerQueue()

    def request(self, packet: FlowPacket, service: Service) -> None:
        """Handle a packet of the caller."""
        state = self._state
        record = state.records.get(packet.key, packet.hash)
        if packet.is_open:
            self._open(packet, service, record)
        elif record is None:
            self._unknown(packet, service)
        else:
            self._known(packet, record)

    def answer(self, packet: FlowPacket, service: Service) -> None:
        """Handle a SYN-ACK, FIN or RST of the backend server."""
        state = self._state
        record = state.records.get(packet.key, packet.hash)
        if packet.flags & RST:
            self._server_reset(packet, service, record)
            return
        if packet.flags & SYN:
            self._accepted(packet, record)
            return
        if record is not None:
            self._note_fin(packet, record, FlowFlag.FIN_SERVER)
        self._forwarder.to_caller(packet)

    def release(self, now: float) -> None:
        """Send the opening packets on whose barrier is open."""
        state = self._state
        if not state.opens.held or state.suspect:
            return
        for key, pending in list(state.opens.held.items()):
            if pending.barrier is None or pending.barrier.is_open(now):
                del state.opens.held[key]
                pending.barrier = None
                self._send_open(pending, now)

    def tick(self, now: float) -> None:
        """Forget what ended or took too long."""
        state = self._state
        self.release(now)
        state.opens.expire(now)
        for key in self.linger.due(now):
            key_hash = flow_hash(key)
            record = state.records.get(key, key_hash)
            if record is not None and record.flags & FlowFlag.ENDED:
                self._forget(key, key_hash, record, now)

    def _open(
        self, packet: FlowPacket, service: Service, record: FlowRecord | None
    ) -> None:
        state = self._state
        now = state.now()
        pending = state.opens.get(packet.key)
        if pending is not None and pending.barrier is not None:
            pending.packet = packet
            self._forwarder.drop(packet, "open_held")
            return
        if record is not None and not self._keeps_server(record, now):
            state.opens.remove(packet.key)
            self._forget(packet.key, packet.hash, record, now)
            state.epoch += 1
            record = None
        if record is None:
            self._place(packet, service, now)
            return
        if pending is None:
            # The server may answer the new SYN with another sequence number.
            state.records.put(packet.key, packet.hash, record._replace(isn=0))
            pending = PendingOpen(packet, record.service, record.server, "record", now)
            state.opens.add(packet.key, pending)
        pending.packet = packet
        if pending.refusals and pending.may_move(now):
            if not self._move(pending, state.services[record.service], now):
                self._forwarder.drop(packet, "no_backend_server")
            return
        if pending.sent + 1 == SILENT_AFTER_PACKETS:
            self._note_refused(state.services[record.service], record.server, now)
        self._send_open(pending, now, reason=_reason(record))

    def _keeps_server(self, record: FlowRecord, now: float) -> bool:
        if record.flags & FlowFlag.ENDED:
            return False
        state = self._state
        service = state.services[record.service]
        if service.servers[record.server].zone in state.snapshot.zones_out:
            return False
        age = now - record.opened / TICKS_PER_SECOND
        candidates = service.epochs.current.table.candidates
        return age < REOPEN_SECONDS or record.server in candidates

    def _place(self, packet: FlowPacket, service: Service, now: float) -> None:
        choice = self._decider.choose(service, packet.bucket, now)
        if choice is None:
            if self._decider.settled(service, packet.bucket, now):
                self._forwarder.refuse(packet, service)
            else:
                self._forwarder.drop(packet, "no_backend_server")
            return
        pending = PendingOpen(packet, service.index, choice.number, choice.reason, now)
        self._make_room(now)
        self._put_open(pending, service, choice, now)
        log_event(
            _logger,
            Event.FLOW_PLACED,
            flow=packet.key.hex(),
            service=service.name,
            server=service.servers[choice.number].name,
            reason=choice.reason,
        )

    def _put_open(
        self, pending: PendingOpen, service: Service, choice: Choice, now: float
    ) -> None:
        """Record an open on a server and send its packet once it is allowed."""
        state, packet = self._state, pending.packet
        key, key_hash = packet.key, packet.hash
        former = state.records.get(key, key_hash)
        flags = former.flags & FlowFlag.EXCEPTION if former else 0
        opened = int(now * TICKS_PER_SECOND)
        state.records.put(
            key, key_hash, FlowRecord(service.index, choice.number, flags, opened)
        )
        state.opens.add(key, pending)
        service.load.opened(choice.number, key, now)
        service.evidence.note_placed(choice.number, now)
        default = service.epochs.is_default(packet.bucket, choice.number)
        if default and state.policy != "replicated":
            self._keeper.remove(key, key_hash, service, now)
            pending.barrier = None
        else:
            pending.barrier = self._keeper.add(key, key_hash, service, now)
            if pending.barrier is not None and not pending.barrier.is_open(now):
                state.opens.held[key] = pending
                return
            pending.barrier = None
        self._send_open(pending, now)

    def _send_open(self, pending: PendingOpen, now: float, *, reason: str = "") -> None:
        state = self._state
        service = state.services[pending.service]
        pending.note_sent(now)
        text = reason or pending.reason
        if not self._forwarder.to_server(pending.packet, service, pending.server, text):
            self._end(pending.packet, now)

    def _known(self, packet: FlowPacket, record: FlowRecord) -> None:
        state = self._state
        now = state.now()
        service = state.services[record.service]
        if packet.key in state.opens.held:
            # A late packet of an earlier connection with the same key.
            self._forwarder.drop(packet, "open_held")
            return
        if not self._forwarder.to_server(
            packet, service, record.server, _reason(record)
        ):
            self._end(packet, now)
            return
        if packet.flags & RST:
            self._end(packet, now)
        elif packet.flags & FIN:
            self._note_fin(packet, record, FlowFlag.FIN_CALLER)
        elif packet.payload and not record.flags & FlowFlag.PAYLOAD:
            flags = record.flags | FlowFlag.PAYLOAD
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))
            state.opens.remove(packet.key)
        if packet.payload and self._silence.note(packet.key, packet.seq, now):
            state.counters["flows_silent"] += 1
            log_event(
                _logger,
                Event.FLOW_SILENT,
                flow=packet.key.hex(),
                service=service.name,
                server=service.servers[record.server].name,
            )

    def _unknown(self, packet: FlowPacket, service: Service) -> None:
        """Handle a mid-flow packet of a flow without a record."""
        state = self._state
        now = state.now()
        bucket = packet.bucket
        if not service.slices.settled(bucket, now) and packet.hops < 2:
            code = service.code(bucket)
            holder = state.certificates.dirty_at(code, state.peers_in_view())
            if holder is not None:
                # After a takeover this member may still have the exception alone.
                self._forwarder.relay(packet, holder)
                return
        moved = state.moved.get(packet.route_key)
        if moved is not None and now < moved[1]:
            service = moved[0]
        number = service.epochs.base(bucket)
        if number == NO_SERVER:
            self._forwarder.drop(packet, "no_backend_server")
            return
        current = service.epochs.default(bucket)
        reason = "default" if number == current else "base"
        sent = self._forwarder.to_server(packet, service, number, reason)
        if sent and not packet.flags & (FIN | RST):
            self._make_room(now)
            flags = FlowFlag.ESTABLISHED | FlowFlag.GUESSED
            opened = int(now * TICKS_PER_SECOND)
            state.records.put(
                packet.key,
                packet.hash,
                FlowRecord(service.index, number, flags, opened),
            )

    def _accepted(self, packet: FlowPacket, record: FlowRecord | None) -> None:
        """Let the SYN-ACK of the flow's server pass, and no other."""
        state = self._state
        pending = state.opens.get(packet.key)
        if pending is not None:
            expected = (pending.packet.seq + 1) & SEQUENCE_MASK
            if pending.barrier is not None or packet.ack != expected:
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
            flags = (record.flags | FlowFlag.ESTABLISHED) & ~FlowFlag.GUESSED
            state.records.put(
                packet.key,
                packet.hash,
                record._replace(flags=flags, isn=packet.seq),
            )
            state.opens.remove(packet.key)
            service = state.services[record.service]
            if service.evidence.note_accepted(record.server):
                self._start_cold(service, record.server, now, Event.SERVER_ACCEPTING)
        self._forwarder.to_caller(packet)

    def _server_reset(
        self, packet: FlowPacket, service: Service, record: FlowRecord | None
    ) -> None:
        state = self._state
        now = state.now()
        pending = state.opens.get(packet.key)
        if pending is not None and record is not None:
            expected = (pending.packet.seq + 1) & SEQUENCE_MASK
            if packet.flags & ACK and packet.ack == expected:
                self._refused(packet, pending, record, now)
                return
        certain = record is not None and not record.flags & FlowFlag.GUESSED
        if not certain and not self._decider.settled(service, packet.bucket, now):
            self._forwarder.drop(packet, "uncertain_reset")
            return
        if record is not None:
            known = record.flags & (FlowFlag.ESTABLISHED | FlowFlag.ENDED)
            if not packet.flags & ACK and known == FlowFlag.ESTABLISHED:
                holder = state.services[record.service]
                if holder.evidence.note_unknown_reset(record.server, now):
                    self._start_cold(holder, record.server, now, Event.SERVER_COLD)
            self._end(packet, now)
        self._forwarder.to_caller(packet)

    def _refused(
        self, packet: FlowPacket, pending: PendingOpen, record: FlowRecord, now: float
    ) -> None:
        """Place a refused open elsewhere, or pass the refusal on."""
        state = self._state
        service = state.services[record.service]
        if pending.barrier is not None:
            self._forwarder.drop(packet, "stale_reset")
            return
        pending.refusals += 1
        self._note_refused(service, record.server, now)
        if record.flags & (FlowFlag.ESTABLISHED | FlowFlag.PAYLOAD):
            self._end(packet, now)
            self._forwarder.to_caller(packet)
            return
        if not pending.may_move(now):
            # Another copy of the SYN is unanswered; the next retransmission of the
            # caller decides, when no answer can cross it.
            self._forwarder.drop(packet, "stale_reset")
            return
        if not self._move(pending, service, now):
            self._end(packet, now)
            self._forwarder.to_caller(packet)

    def _move(self, pending: PendingOpen, service: Service, now: float) -> bool:
        """Place a refused open on another server; returns whether there is one."""
        packet = pending.packet
        service.load.ended(pending.server, packet.key)
        choice = self._decider.choose(
            service, packet.bucket, now, exclude=pending.tried
        )
        if choice is None:
            return False
        log_event(
            _logger,
            Event.FLOW_REPLACED,
            flow=packet.key.hex(),
            service=service.name,
            refused_by=service.servers[pending.server].name,
            server=service.servers[choice.number].name,
        )
        pending.place(choice.number, "retry")
        self._put_open(pending, service, choice, now)
        return True

    def _note_refused(self, service: Service, number: int, now: float) -> None:
        new = not service.evidence.refusing_ms(number, now)
        delay = service.evidence.note_refused(number, now)
        if new:
            log_event(
                _logger,
                Event.SERVER_REFUSING,
                service=service.name,
                server=service.servers[number].name,
                retry_in=f"{delay:.1f}",
            )

    def _start_cold(
        self, service: Service, number: int, now: float, event: Event
    ) -> None:
        if service.load.start_cold(number, now):
            log_event(
                _logger,
                event,
                service=service.name,
                server=service.servers[number].name,
            )

    def _note_fin(self, packet: FlowPacket, record: FlowRecord, fin: int) -> None:
        state = self._state
        flags = record.flags | fin
        both = FlowFlag.FIN_CALLER | FlowFlag.FIN_SERVER
        service = state.services[record.service]
        service.load.ended(record.server, packet.key)
        if flags & both == both:
            self._end(packet, state.now())
        else:
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))

    def _end(self, packet: FlowPacket, now: float) -> None:
        """Mark a flow as ended; its record stays for late packets."""
        state = self._state
        state.opens.remove(packet.key)
        self._silence.forget(packet.key)
        record = state.records.get(packet.key, packet.hash)
        if record is None:
            return
        state.services[record.service].load.ended(record.server, packet.key)
        if not record.flags & FlowFlag.ENDED:
            flags = record.flags | FlowFlag.ENDED
            state.records.put(packet.key, packet.hash, record._replace(flags=flags))
            self.linger.add(packet.key, now)

    def _forget(
        self, key: bytes, key_hash: int, record: FlowRecord, now: float
    ) -> None:
        service = self._state.services[record.service]
        self._keeper.forget_record(key, key_hash, service, now)

    def _make_room(self, now: float) -> None:
        records = self._state.records
        flow = records.overflow()
        if flow is not None:
            key, record = flow
            self._forget(key, flow_hash(key), record, now)
            records.evicted += 1
            self._state.counters["records_evicted"] += 1


def _reason(record: FlowRecord) -> str:
    return "exception" if record.flags & FlowFlag.EXCEPTION else "record"
