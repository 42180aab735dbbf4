"""Control messages of the router: heartbeats, logs and exceptions of peers."""

from collections import deque
from logging import getLogger

from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.proto.peer_pb2 import (
    Heartbeat,
    LogEntries,
    PeerMessage,
    ServerLoad,
)
from magnoliaslip.placement.base_window import BaseWindow
from magnoliaslip.placement.exceptions import ExceptionKeeper
from magnoliaslip.placement.handover import Handover
from magnoliaslip.placement.replication import LogReceiver, PeerLog, ack_message
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# With 7 members and two heartbeats a second this is below 1.5 KB/s.
LOADS_PER_HEARTBEAT = 4
MAX_FORMER_PEERS = 1_024

_logger = getLogger(__name__)


class PeerExchange:
    """Keeps the logs to and from peers, and what their heartbeats state.

    Args:
        state: State of the router.
        keeper: The exceptions held here.
        handover: Moves exceptions between members.
        window: The base versions of this instance.
    """

    __slots__ = (
        "_handover",
        "_keeper",
        "_load_turn",
        "_receivers",
        "_state",
        "_used",
        "_window",
        "reported",
    )

    def __init__(
        self,
        state: PlacementState,
        keeper: ExceptionKeeper,
        handover: Handover,
        window: BaseWindow,
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._handover = handover
        self._window = window
        self._receivers: dict[str, LogReceiver] = {}
        # Last number used for peers that left the view and may come back.
        self._used: dict[str, int] = {}
        self._load_turn: deque[tuple[int, int]] = deque()
        # Configuration version and base version by peer.
        self.reported: dict[str, tuple[int, int]] = {}

    def view_changed(self, now: float) -> None:
        """Keep logs for exactly the members of the view."""
        state = self._state
        peers = state.peers_in_view()
        state.certificates.set_required(peers, now)
        for peer in sorted(state.logs.keys() - set(peers)):
            self._used.pop(peer, None)
            self._used[peer] = state.logs.pop(peer).last_sequence
        while len(self._used) > MAX_FORMER_PEERS:
            del self._used[next(iter(self._used))]
        for peer in self.reported.keys() - set(peers):
            del self.reported[peer]
        for peer in self._receivers.keys() - set(peers):
            del self._receivers[peer]
        for peer in peers:
            incarnation = state.view.members[peer].incarnation
            log = state.logs.get(peer)
            if log is None:
                first = self._used.get(peer, 0) + 1
                log = PeerLog(peer, incarnation, state.peers.send, first_sequence=first)
                state.logs[peer] = log
                self._keeper.announce_all(log)
                self._handover.resend_to(peer)
            elif log.incarnation < incarnation:
                self._restart(log, incarnation)
            log.flush(now)

    def fill_heartbeat(self, peer: str, heartbeat: Heartbeat, now: float) -> None:
        """Add log positions, the base version and loads for a peer."""
        state = self._state
        state.certificates.note_sent(peer, heartbeat.number, now)
        heartbeat.base_version = self._window.base_version
        log = state.logs.get(peer)
        if log is not None:
            log.flush(now)
            heartbeat.log_sequence = log.last_sequence
        else:
            # Outside the view there is no log. A number that no log reaches before
            # it starts anew keeps the peer from holding a certificate.
            self._used[peer] = self._used.get(peer, 0) + 1
            heartbeat.log_sequence = self._used[peer]
        receiver = self._receivers.get(peer)
        # Incarnation 0 tells the peer that the start of its log is missing here.
        heartbeat.log_applied_incarnation = 0
        if receiver is not None and receiver.applied is not None:
            heartbeat.log_applied = receiver.applied
            heartbeat.log_applied_incarnation = receiver.incarnation
        self._fill_loads(heartbeat, now)

    def on_heartbeat(
        self, peer: str, heartbeat: Heartbeat, incarnation: int, now: float
    ) -> None:
        """Take over what a heartbeat of a peer states."""
        state = self._state
        certificates = state.certificates
        certificates.note_heard(peer, now)
        if peer not in state.view.members:
            return
        receiver = self._receiver(peer, incarnation)
        if receiver is None:
            return
        certificates.note_stated(peer, incarnation, heartbeat.log_sequence)
        if heartbeat.log_sequence == 0 and receiver.applied is None:
            receiver.applied = 0
        if heartbeat.echo_incarnation == state.incarnation:
            certificates.note_echo(peer, heartbeat.echo_number)
        log = state.logs.get(peer)
        if log is not None:
            # A peer that took this instance out of its view and back in has dropped
            # what it applied, and waits for the log from its start.
            lost = log.acked >= 0 and not heartbeat.log_applied_incarnation
            if lost or log.overflowed or log.incarnation < incarnation:
                self._restart(log, incarnation)
            elif (
                heartbeat.log_applied_incarnation
                and heartbeat.log_applied_incarnation == state.incarnation
            ):
                log.on_ack(heartbeat.log_applied, now)
        if heartbeat.config_version:
            self.reported[peer] = (heartbeat.config_version, heartbeat.base_version)
        self._take_loads(peer, heartbeat, now)

    def on_message(self, sender: str, msg: PeerMessage, now: float) -> bool:
        """Handle a log, an acknowledgement, or a question for exceptions.

        Returns:
            Whether answers of ``FlowRouter.direct`` may be invalid now.
        """
        state = self._state
        body = msg.WhichOneof("body")
        if body == "log":
            return self._on_log(sender, msg.incarnation, msg.log, now)
        if body == "log_ack":
            log = state.logs.get(sender)
            if (
                log is not None
                and log.incarnation == msg.incarnation
                and msg.log_ack.incarnation == state.incarnation
            ):
                log.on_ack(msg.log_ack.applied, now)
        elif body == "exception_request":
            self._handover.answer(sender)
        elif body == "exception_reply":
            return self._handover.take_reply(sender, msg.exception_reply, now)
        return False

    def tick(self, now: float) -> None:
        """Send logs on, and again where they were not acknowledged."""
        for log in self._state.logs.values():
            log.tick(now)

    def _restart(self, log: PeerLog, incarnation: int) -> None:
        log.restart(incarnation)
        self._keeper.announce_all(log)
        self._handover.resend_to(log.peer)

    def _receiver(self, peer: str, incarnation: int) -> LogReceiver | None:
        """Return the receiver of a peer; None for a message of a former life."""
        receiver = self._receivers.get(peer)
        if receiver is None or receiver.incarnation < incarnation:
            receiver = self._receivers[peer] = LogReceiver(incarnation)
        return receiver if receiver.incarnation == incarnation else None

    def _on_log(
        self, sender: str, incarnation: int, entries: LogEntries, now: float
    ) -> bool:
        state = self._state
        if sender not in state.view.members:
            return False
        receiver = self._receiver(sender, incarnation)
        if receiver is None:
            return False
        former = receiver.applied
        skip = receiver.accept(entries)
        changed = False
        certificates = state.certificates
        if skip is not None:
            if entries.reset and skip == 0:
                certificates.forget_dirty(sender, incarnation)
                if former:
                    # Without anything applied before, no copy came from this log.
                    self._forget_exceptions(sender, now)
            changed = self._apply_buckets(sender, incarnation, entries, skip)
            rest = max(0, skip - len(entries.buckets))
            changed |= self._handover.apply_exceptions(entries, now, skip=rest)
        if receiver.applied is not None:
            certificates.note_applied(sender, incarnation, receiver.applied)
            ack = ack_message(receiver.applied, incarnation)
            state.peers.send(sender, ack)
        return changed

    def _apply_buckets(
        self, sender: str, incarnation: int, entries: LogEntries, skip: int
    ) -> bool:
        changed = False
        for op in entries.buckets[skip:]:
            if op.service_index >= len(entries.services):
                continue
            service = self._state.service(entries.services[op.service_index])
            code = service.code(op.bucket & 0xFFFF)
            # A bucket that is clean again makes no former answer wrong.
            changed |= (
                self._state.certificates.set_dirty(sender, incarnation, code, op.dirty)
                and op.dirty
            )
        return changed

    def _forget_exceptions(self, sender: str, now: float) -> None:
        """Drop the copies of a peer that sends them anew.

        Copies of a slice that it has just taken over came from the former owner, and
        it may not have got them yet.
        """
        for code in list(self._keeper.codes):
            service = self._state.services[code >> 16]
            if service.slices.owner(
                code & 0xFFFF
            ) == sender and not self._handover.is_moving(code):
                self._keeper.drop_bucket(code, now)

    def _fill_loads(self, heartbeat: Heartbeat, now: float) -> None:
        if not self._load_turn:
            self._load_turn.extend(
                (service.index, number)
                for service in self._state.services
                for number in (
                    service.load.active_servers() | set(service.evidence.suspected)
                )
            )
        entries: list[ServerLoad] = []
        for _ in range(len(self._load_turn)):
            if len(entries) == LOADS_PER_HEARTBEAT:
                break
            index, number = self._load_turn.popleft()
            entry = self._load_entry(self._state.services[index], number, now)
            if entry is not None:
                entries.append(entry)
        heartbeat.loads.extend(entries)

    def _load_entry(
        self, service: Service, number: int, now: float
    ) -> ServerLoad | None:
        work = service.load.own_in_flight(number, now)
        cold_age = service.load.cold_age_ms(number, now)
        refusing = service.evidence.refusing_ms(number, now)
        if not work and not cold_age and not refusing:
            return None
        return ServerLoad(
            service=service.name,
            server=service.servers[number].name,
            work=work,
            cold_age_ms=cold_age,
            refusing_ms=refusing,
        )

    def _take_loads(self, peer: str, heartbeat: Heartbeat, now: float) -> None:
        state = self._state
        if state.view.members[peer].state is MemberState.JOINING:
            return
        for load in heartbeat.loads:
            service = state.services_by_name.get(load.service)
            number = service.servers.find(load.server) if service else None
            if service is None or number is None:
                continue
            service.load.apply_report(peer, number, load.work, now)
            if load.cold_age_ms:
                age = load.cold_age_ms / 1000
                if age < state.cfg.slow_start and service.load.begin_slow_start(
                    number, now - age
                ):
                    log_event(
                        _logger,
                        Event.SERVER_COLD,
                        service=service.name,
                        server=load.server,
                        reported_by=peer,
                    )
            if load.refusing_ms:
                service.evidence.apply_report(number, load.refusing_ms, now)
