"""Control messages between peers: heartbeats, replication logs and exceptions."""

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
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.handover import Handover
from magnoliaslip.placement.replication import LogReceiver, PeerLog, ack_message
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

# With 7 members and two heartbeats a second, the loads take less than 1.5 KB/s.
LOADS_PER_HEARTBEAT = 4
MAX_FORMER_PEERS = 1_024

_logger = getLogger(__name__)


class PeerExchange:
    """Maintains the replication logs to and from peers, and applies their heartbeats.

    Args:
        state: State of the router.
        exceptions: The exceptions on this instance.
        handover: Transfers exceptions between members.
        window: Tracks the versions in the history window and advances the bases.

    Attributes:
        reported_versions: Configuration version and base version by peer.
    """

    __slots__ = (
        "_exceptions",
        "_handover",
        "_last_sequences",
        "_load_queue",
        "_receivers",
        "_state",
        "_window",
        "reported_versions",
    )

    def __init__(
        self,
        state: PlacementState,
        exceptions: ExceptionStore,
        handover: Handover,
        window: BaseWindow,
    ) -> None:
        self._state = state
        self._exceptions = exceptions
        self._handover = handover
        self._window = window
        self._receivers: dict[str, LogReceiver] = {}
        # Last sequence number used for peers that left the view and may return.
        self._last_sequences: dict[str, int] = {}
        self._load_queue: deque[tuple[int, int]] = deque()
        self.reported_versions: dict[str, tuple[int, int]] = {}

    def on_view_changed(self, now: float) -> None:
        """Update the logs so that each peer in the view has one, and no other."""
        state = self._state
        peers = state.peers_in_view()
        state.certificates.set_required(peers, now)
        for peer in sorted(state.logs.keys() - set(peers)):
            self._last_sequences.pop(peer, None)
            self._last_sequences[peer] = state.logs.pop(peer).last_sequence
        while len(self._last_sequences) > MAX_FORMER_PEERS:
            del self._last_sequences[next(iter(self._last_sequences))]
        for peer in self.reported_versions.keys() - set(peers):
            del self.reported_versions[peer]
        for peer in self._receivers.keys() - set(peers):
            del self._receivers[peer]
        for peer in peers:
            incarnation = state.view.members[peer].incarnation
            log = state.logs.get(peer)
            if log is None:
                first = self._last_sequences.get(peer, 0) + 1
                log = PeerLog(peer, incarnation, state.peers.send, first_sequence=first)
                state.logs[peer] = log
                self._exceptions.buckets.advertise_all(log)
                self._handover.resend_to(peer)
            elif log.incarnation < incarnation:
                self._restart(log, incarnation)
            log.flush(now)

    def fill_heartbeat(self, peer: str, heartbeat: Heartbeat, now: float) -> None:
        """Add log positions, the base version and loads for a peer."""
        state = self._state
        state.certificates.record_sent_heartbeat(peer, heartbeat.number, now)
        heartbeat.base_version = self._window.base_version
        log = state.logs.get(peer)
        if log is not None:
            log.flush(now)
            heartbeat.log_sequence = log.last_sequence
        else:
            # There is no log for a peer outside the view. A sequence number that no
            # log reaches before it restarts prevents the peer from holding a
            # certificate.
            self._last_sequences[peer] = self._last_sequences.get(peer, 0) + 1
            heartbeat.log_sequence = self._last_sequences[peer]
        receiver = self._receivers.get(peer)
        # Incarnation 0 reports to the peer that the start of its log is missing here.
        heartbeat.log_applied_incarnation = 0
        if receiver is not None and receiver.applied is not None:
            heartbeat.log_applied = receiver.applied
            heartbeat.log_applied_incarnation = receiver.incarnation
        self._fill_loads(heartbeat, now)

    def on_heartbeat(
        self, peer: str, heartbeat: Heartbeat, incarnation: int, now: float
    ) -> None:
        """Apply a heartbeat from a peer."""
        state = self._state
        certificates = state.certificates
        certificates.record_received_heartbeat(peer, now)
        if peer not in state.view.members:
            return
        receiver = self._receiver(peer, incarnation)
        if receiver is None:
            return
        certificates.record_reported_sequence(peer, incarnation, heartbeat.log_sequence)
        if heartbeat.log_sequence == 0 and receiver.applied is None:
            receiver.applied = 0
        if heartbeat.echo_incarnation == state.incarnation:
            certificates.record_echo(peer, heartbeat.echo_number)
        log = state.logs.get(peer)
        if log is not None:
            # A peer that removed this instance from its view and added it again has
            # discarded what it applied, and waits for the log from its start.
            peer_lost_log = (
                log.acked_sequence >= 0 and not heartbeat.log_applied_incarnation
            )
            if peer_lost_log or log.overflowed or log.incarnation < incarnation:
                self._restart(log, incarnation)
            elif (
                heartbeat.log_applied_incarnation
                and heartbeat.log_applied_incarnation == state.incarnation
            ):
                log.on_ack(heartbeat.log_applied, now)
        if heartbeat.config_version:
            self.reported_versions[peer] = (
                heartbeat.config_version,
                heartbeat.base_version,
            )
        self._apply_loads(peer, heartbeat, now)

    def on_message(self, sender: str, msg: PeerMessage, now: float) -> bool:
        """Handle a log, an acknowledgement, or a request or reply for exceptions.

        Returns:
            Whether earlier results of ``FlowRouter.direct`` may be invalid now.
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
            self._handover.reply_to_request(sender)
        elif body == "exception_reply":
            return self._handover.apply_reply(sender, msg.exception_reply, now)
        return False

    def tick(self, now: float) -> None:
        """Send waiting log operations, and resend unacknowledged ones."""
        for log in self._state.logs.values():
            log.tick(now)

    def _restart(self, log: PeerLog, incarnation: int) -> None:
        log.restart(incarnation)
        self._exceptions.buckets.advertise_all(log)
        self._handover.resend_to(log.peer)

    def _receiver(self, peer: str, incarnation: int) -> LogReceiver | None:
        """Return the receiver for a peer; None for a former incarnation."""
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
        previously_applied = receiver.applied
        skip = receiver.accept(entries)
        changed = False
        certificates = state.certificates
        if skip is not None:
            if entries.reset and skip == 0:
                certificates.clear_dirty(sender, incarnation)
                if previously_applied:
                    # If nothing was applied before, no replica came from this log.
                    self._remove_replicas_from(sender, now)
            changed = self._apply_buckets(sender, incarnation, entries, skip)
            skipped_exceptions = max(0, skip - len(entries.buckets))
            changed |= self._handover.apply_exceptions(
                entries, now, skip=skipped_exceptions
            )
        if receiver.applied is not None:
            certificates.record_applied_sequence(sender, incarnation, receiver.applied)
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
            # A bucket that becomes clean does not invalidate an earlier result.
            changed |= (
                self._state.certificates.set_dirty(sender, incarnation, code, op.dirty)
                and op.dirty
            )
        return changed

    def _remove_replicas_from(self, sender: str, now: float) -> None:
        """Remove the replicas of an owner that sends its exceptions again.

        Replicas of a slice whose ownership the peer has just gained are kept: they
        came from the former owner, and the peer may not have received them yet.
        """
        for code in list(self._exceptions.buckets.codes):
            service = self._state.services[code >> 16]
            if service.slices.owner(
                code & 0xFFFF
            ) == sender and not self._handover.is_in_handover(code):
                self._exceptions.drop_bucket(code, now)

    def _fill_loads(self, heartbeat: Heartbeat, now: float) -> None:
        if not self._load_queue:
            self._load_queue.extend(
                (service.index, number)
                for service in self._state.services
                for number in (
                    service.load.active_servers()
                    | set(service.evidence.tracked_servers)
                )
            )
        entries: list[ServerLoad] = []
        for _ in range(len(self._load_queue)):
            if len(entries) == LOADS_PER_HEARTBEAT:
                break
            index, number = self._load_queue.popleft()
            entry = self._load_entry(self._state.services[index], number, now)
            if entry is not None:
                entries.append(entry)
        heartbeat.loads.extend(entries)

    def _load_entry(
        self, service: Service, number: int, now: float
    ) -> ServerLoad | None:
        in_flight = service.load.own_in_flight(number, now)
        cold_age = service.load.cold_age_ms(number, now)
        refusing = service.evidence.refusing_ms(number, now)
        if not in_flight and not cold_age and not refusing:
            return None
        return ServerLoad(
            service=service.name,
            server=service.servers[number].name,
            work=in_flight,
            cold_age_ms=cold_age,
            refusing_ms=refusing,
        )

    def _apply_loads(self, peer: str, heartbeat: Heartbeat, now: float) -> None:
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
                if age < state.cfg.slow_start_s and service.load.begin_slow_start(
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
