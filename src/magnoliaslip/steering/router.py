"""Places new flows on backend servers and forwards tagged packets."""

from collections import Counter, deque
from collections.abc import Callable
from math import inf
from typing import Any

from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import Endpoint, ServiceRoute
from magnoliaslip.steering.decision_fields import evidence_fields, placement_fields
from magnoliaslip.steering.decisions import DecisionLog
from magnoliaslip.steering.deferred_packet import DeferredPacket
from magnoliaslip.steering.flow_table import FlowEntry, FlowTable, is_after
from magnoliaslip.steering.flow_tags import FlowTags
from magnoliaslip.steering.link import TaggedLink
from magnoliaslip.steering.packet import FIN, RST, SYN, TaggedPacket
from magnoliaslip.steering.pending_syns import PendingSyns
from magnoliaslip.steering.reachability import CORRECTION_TIME_S, SYN_ANSWER_TIMEOUT_S
from magnoliaslip.steering.server_choice import ServerChoice, service_of
from magnoliaslip.steering.servers import ServerSet, TrackedServer
from magnoliaslip.steering.syn_copies import may_be_superseded
from magnoliaslip.steering.tags import flow_tag

# State of a flow may be discarded when it is older than this, in seconds (protocol); a
# removed server is kept for as long. The published idle time-out may be shorter.
MAX_FLOW_AGE_S = 60.0
# Packets are reordered within milliseconds; a packet that arrives again after this time
# in seconds is a retransmission.
MIN_RETRANSMISSION_DELAY_S = 0.15


class TagRouter:
    """Places new flows and forwards packets by the tag that they carry.

    Servers answer callers directly, so an instance sees only packets of callers. It
    writes the tag of the chosen server into the SYN; the server repeats the tag in its
    answers, and the caller in all later packets.

    Routes apply to new flows only. A packet other than a SYN goes to the server that
    its tag identifies, see `FlowTags`. It is dropped, not reset, if there is none: a
    server that is missing from this instance's directory may still exist. A packet with
    data is reset if its server is unreachable and its route idempotent, because the
    caller can then retry the request on a new flow, unless the cause may be this
    instance itself.

    Whether a server answers is judged only when all received packets have been handled:
    after a pause of this instance, answers are in the receive queue behind the packets
    that seem unanswered. Packets that depend on it are deferred until then.

    Args:
        zone: Availability zone of this instance.
        directory: Routes, servers and zones as published.
        link: Sends packets.
        counters: Counts packets by outcome.
        log: Records each decision.

    Attributes:
        zone: Availability zone of this instance.
        correction_time_s: Time in seconds that other instances have to correct the
            evidence against a server before its flows are reset; `CORRECTION_TIME_S`
            until the size of the fleet is known.
        observe: Called with the name of a histogram and a duration in seconds.
        on_evidence: Called when a packet was not answered in time.
        before_judgement: Called before the evidence on servers is used.
        queued_packets: Packets that were in the receive queue at once, when the one
            that is handled now was read.
        max_wait_s: Longest time in seconds for which it may have waited there.
        flows: Entries of the flows that this instance forwards.
        server_choice: Chooses the servers of new flows.
        servers: Servers that packets may be sent to.
    """

    __slots__ = (
        "_backlog_since",
        "_deferred",
        "_directory",
        "_flow_tags",
        "_link",
        "_pending_syns",
        "_queue_empty_at",
        "before_judgement",
        "correction_time_s",
        "counters",
        "flows",
        "log",
        "max_wait_s",
        "observe",
        "on_evidence",
        "queued_packets",
        "server_choice",
        "servers",
        "zone",
    )

    def __init__(
        self,
        zone: str,
        *,
        directory: Directory,
        link: TaggedLink,
        counters: Counter[str],
        log: DecisionLog,
    ) -> None:
        self.zone = zone
        self._directory = directory
        self._link = link
        self.counters = counters
        self.log = log
        self.observe: Callable[[str, float], None] | None = None
        self.on_evidence: Callable[[], None] | None = None
        self.before_judgement: Callable[[], None] | None = None
        self.correction_time_s = CORRECTION_TIME_S
        self.queued_packets = 1
        self.max_wait_s = 0.0
        self.flows = FlowTable()
        self.servers = ServerSet(retention_s=MAX_FLOW_AGE_S)
        # Time since which received packets have been waiting, else infinity.
        self._backlog_since = inf
        # Time at which the receive queue was last empty, else minus infinity.
        self._queue_empty_at = -inf
        self._deferred: deque[DeferredPacket] = deque()
        self._flow_tags = FlowTags()
        self.server_choice = ServerChoice(
            zone, directory=directory, servers=self.servers, flow_tags=self._flow_tags
        )
        self._pending_syns = PendingSyns(self.flows)

    def apply_directory(self, now: float) -> None:
        """Apply changes of the directory to the tracked servers."""
        if self.servers.apply(self._directory, now):
            self._flow_tags.update(self.servers)

    def on_tick(self, now: float) -> None:
        """Discard expired flows and servers; called about once a second."""
        table = self._directory.table
        idle_s = table.idle_timeout_s if table else MAX_FLOW_AGE_S
        self.flows.expire(now - min(idle_s, MAX_FLOW_AGE_S))
        self.apply_directory(now)

    def handle(self, packet: TaggedPacket, now: float) -> None:
        """Forward, reset or drop one packet.

        Args:
            packet: A packet from a caller.
            now: Monotonic time in seconds.
        """
        table = self._directory.table
        route = table.routes.get(packet.endpoint) if table else None
        if self._deferred and packet.flags & (SYN | FIN | RST):
            self._release_deferred(packet.flow)
        if not packet.flags & SYN:
            self._forward(packet, route, now)
        elif table is None:
            self._drop(packet, "no_table")
        else:
            self._handle_syn(packet, route, now)

    def preview(
        self, endpoint: Endpoint, service: str, flow: bytes, now: float
    ) -> TrackedServer | None:
        """Return the server for the SYN of a new flow, without placing the flow.

        Other unanswered SYNs of the caller are ignored.
        """
        return self.server_choice.choose(endpoint, service, flow, (), now)

    def on_backlog(self, now: float) -> None:
        """Record that more packets are waiting than are handled at a time.

        Deferred packets are sent on: their answers may be among those that wait.
        Retransmissions that wait behind the packets that they repeat are no evidence
        against servers.

        Args:
            now: Monotonic time in seconds.
        """
        self._backlog_since = min(self._backlog_since, now)
        while self._deferred:
            self._send_deferred(self._deferred.popleft())

    def on_receive_queue_empty(self, now: float) -> None:
        """Judge which servers answer; send or reset what was deferred.

        Called when all received packets have been handled. Retransmitted data and SYNs
        that were not answered in time are evidence against servers.

        Args:
            now: Monotonic time in seconds.
        """
        self._backlog_since = inf
        self._judge_deferred(now)
        self._queue_empty_at = now
        for pending in self._pending_syns.pop_unanswered(
            before=now - SYN_ANSWER_TIMEOUT_S
        ):
            self.counters["unanswered_opens"] += 1
            tracked, flow = pending.server, pending.flow
            if tracked.record_unanswered_syn(flow, pending.sent_at, now):
                self._log_suspect(tracked, flow, "unanswered open", now)
            self._notify_evidence()

    def _handle_syn(
        self, packet: TaggedPacket, route: ServiceRoute | None, now: float
    ) -> None:
        """Place the flow of a SYN, or forward a duplicate to the server chosen before.

        A retransmission is placed on another server if there is one, unless the first
        one has not had the time to answer: when packets were held up on their way here,
        a SYN and its copy arrive together. If two servers answer, the caller repeats
        the tag of the later answer, which need not be that of its server. A late copy,
        see `FlowEntry.is_late_copy`, is dropped. Another SYN of an established flow, or
        one with a lower retransmission number than the last, starts a new flow between
        the same addresses and ports. A SYN that waited here
        until its caller may have sent the next copy is dropped: the flow may be open
        on another server by now.
        """
        if may_be_superseded(packet.retransmission, self.max_wait_s):
            self._drop(packet, "superseded", waited_s=round(self.max_wait_s, 3))
            return
        if route is None:
            self._reset(packet, "no_route")
            return
        entry = self.flows.get(packet.flow)
        if entry is not None and entry.is_late_copy(packet, now):
            self._drop(packet, "superseded", waited_s=round(self.max_wait_s, 3))
            return
        if (
            entry is None
            or entry.established
            or packet.retransmission < entry.retransmission
        ):
            entry = self.flows.create(packet.flow, now)
        elif entry.server is not None and (
            packet.retransmission == entry.retransmission
            or now - entry.last_seen_at < SYN_ANSWER_TIMEOUT_S
        ):
            entry.retransmission = packet.retransmission
            self._send(entry.server, packet, entry.tag)
            return
        elif entry.server is not None:
            entry.tried += (entry.server,)
        service = service_of(route, packet.flow)
        tried = entry.tried + self._pending_syns.tried(packet.caller)
        tracked = self.server_choice.choose(
            packet.endpoint, service, packet.flow, tried, now
        )
        entry.retransmission = packet.retransmission
        entry.last_seen_at = now
        entry.server = tracked
        if tracked is None:
            self._drop(packet, "no_server", service=service)
            return
        self.log.record(
            "FLOW_PLACED",
            packet.flow,
            service=service,
            copy=packet.retransmission,
            era=self._directory.era,
            revision=self._directory.revision,
            **placement_fields(tracked, tried, now),
        )
        entry.tag = flow_tag(tracked.key, packet.endpoint)
        entry.syn_seq = packet.seq
        entry.syn_sent_at = now
        entry.next_request_counted = True
        tracked.record_placement(now)
        self._pending_syns.add(now, packet.flow, packet.caller, tracked)
        self._send(tracked, packet, entry.tag)

    def _forward(
        self, packet: TaggedPacket, route: ServiceRoute | None, now: float
    ) -> None:
        entry = self.flows.get(packet.flow)
        if entry is not None and entry.established and not entry.continues(packet):
            # The port is used again, and others forwarded the SYN of the new flow.
            entry = None
        if entry is not None and entry.established and entry.server is not None:
            # A second server's answer to a retransmitted SYN may have changed the tag
            # after the flow was established.
            tracked, tag = entry.server, entry.tag
        else:
            tag = packet.tag
            tracked = self._flow_tags.find(packet.endpoint, tag)
            if tracked is None:
                self._drop(packet, "unknown_tag", tag=tag)
                return
        if entry is None:
            entry = self.flows.create(packet.flow, now)
        is_evidence = self._track_answers(entry, tracked, packet, now)
        resettable = bool(packet.data_bytes) and route is not None and route.idempotent
        if is_evidence or (resettable and self._is_unreachable(tracked, now)):
            self._deferred.append(
                DeferredPacket(
                    packet, tracked, tag, is_evidence=is_evidence, resettable=resettable
                )
            )
            return
        self._send(tracked, packet, tag)
        if packet.flags & RST:
            self.flows.remove(packet.flow)

    def _judge_deferred(self, now: float) -> None:
        """Record deferred retransmissions as evidence; send or reset each packet.

        After an error with one packet, the next call continues with the others.
        """
        if self._deferred and self.before_judgement is not None:
            self.before_judgement()
        for each in self._deferred:
            if each.is_evidence:
                each.is_evidence = False
                self.counters["repeated"] += 1
                if each.server.record_retransmission(
                    each.packet.flow, now, arrived_after=self._queue_empty_at
                ):
                    self._log_suspect(
                        each.server, each.packet.flow, "unanswered data", now
                    )
                self._notify_evidence()
        while self._deferred:
            each = self._deferred.popleft()
            if each.resettable and self._is_unreachable(each.server, now):
                self._reset_unreachable(each, now)
            else:
                self._send_deferred(each)

    def _release_deferred(self, flow: bytes) -> None:
        """Send the deferred packets of a flow that ends, or whose port is reused."""
        for each in [each for each in self._deferred if each.packet.flow == flow]:
            self._deferred.remove(each)
            self._send_deferred(each)

    def _is_unreachable(self, tracked: TrackedServer, now: float) -> bool:
        return tracked.is_unreachable(
            now, from_zone=self.zone, correction_time_s=self.correction_time_s
        ) and not self.servers.is_own_path_suspect(self.zone, now)

    def _reset_unreachable(self, deferred: DeferredPacket, now: float) -> None:
        """Reset a flow; its caller then retries the request on a new one at once."""
        reachability = deferred.server.reachability
        self._reset(
            deferred.packet,
            "unreachable",
            server=deferred.server.server.id,
            silent_flows=reachability.unresponsive_flows(now),
            silent_elsewhere=reachability.peer_unresponsive_flows,
            **self._evidence_fields(deferred.server, now),
        )
        self.flows.remove(deferred.packet.flow)

    def _track_answers(
        self, entry: FlowEntry, tracked: TrackedServer, packet: TaggedPacket, now: float
    ) -> bool:
        """Derive from a caller's packet whether its server answers; count requests.

        Returns:
            Whether the packet is evidence against the server, as it repeats data, if
            no answer is found in the receive queue.
        """
        if not entry.established:
            if entry.server is not None:  # the server answered the SYN
                self._record_answer(tracked, packet.flow, now)
                self._observe_duration("open_seconds", now - entry.last_seen_at)
            entry.last_seen_at = now
            entry.established = True
            entry.server = tracked
            entry.tag = packet.tag
            entry.ack = packet.ack
        elif is_after(packet.ack, entry.ack):
            entry.ack = packet.ack
            if entry.unanswered_since:
                self._observe_duration("answer_seconds", now - entry.unanswered_since)
            entry.unanswered_since = 0.0
            self._record_answer(tracked, packet.flow, now)
        entry.last_seen_at = now
        entry.last_seq = packet.seq
        if not packet.data_bytes:
            return False
        if entry.seq is None or is_after(packet.seq, entry.seq):
            entry.seq = packet.seq
            entry.sent_at = now
            if not entry.unanswered_since:
                entry.unanswered_since = now
                if not entry.next_request_counted:
                    tracked.record_request(now)
                entry.next_request_counted = False
            return False
        return (
            packet.seq == entry.seq
            and now - entry.sent_at >= MIN_RETRANSMISSION_DELAY_S
            and entry.sent_at < self._backlog_since
        )

    def _record_answer(self, tracked: TrackedServer, flow: bytes, now: float) -> None:
        if tracked.record_answer(now):
            self.log.record("SERVER_HEARD", flow, server=tracked.server.id)

    def _log_suspect(
        self, tracked: TrackedServer, flow: bytes, reason: str, now: float
    ) -> None:
        self.log.record(
            "SERVER_SUSPECT",
            flow,
            server=tracked.server.id,
            server_zone=tracked.server.zone,
            reason=reason,
            registered=tracked.registered,
            **self._evidence_fields(tracked, now),
        )

    def _evidence_fields(self, tracked: TrackedServer, now: float) -> dict[str, Any]:
        return evidence_fields(
            tracked, self.servers, now, queued_packets=self.queued_packets
        )

    def _observe_duration(self, name: str, seconds: float) -> None:
        if self.observe is not None:
            self.observe(name, seconds)

    def _reset(self, packet: TaggedPacket, reason: str, **fields: Any) -> None:
        self.counters[f"reset_{reason}"] += 1
        self._log_rejection("FLOW_RESET", packet, reason, fields)
        self._link.send_reset(packet)

    def _drop(self, packet: TaggedPacket, reason: str, **fields: Any) -> None:
        self.counters[f"drop_{reason}"] += 1
        self._log_rejection("FLOW_DROPPED", packet, reason, fields)

    def _log_rejection(
        self, event: str, packet: TaggedPacket, reason: str, fields: dict[str, Any]
    ) -> None:
        self.log.record(
            event,
            packet.flow,
            reason=reason,
            era=self._directory.era,
            revision=self._directory.revision,
            **fields,
        )

    def _notify_evidence(self) -> None:
        if self.on_evidence is not None:
            self.on_evidence()

    def _send_deferred(self, deferred: DeferredPacket) -> None:
        self._send(deferred.server, deferred.packet, deferred.tag)

    def _send(self, tracked: TrackedServer, packet: TaggedPacket, tag: int) -> None:
        self.counters["forwarded"] += 1
        self._link.send_to_server(tracked.server, packet, tag)
