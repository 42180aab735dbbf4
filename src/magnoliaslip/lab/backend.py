"""Simulated backend server that answers the requests of simulated callers."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.lab.deadlines import DeadlineQueue
from magnoliaslip.lab.health import HealthEndpoint, ServerHealthReport
from magnoliaslip.lab.protocol import (
    Answer,
    Cancel,
    Message,
    MessageReader,
    ProtocolError,
    Push,
    Request,
    RequestKind,
    encode_message,
)
from magnoliaslip.lab.slots import Admission, SlotConfig, Slots
from magnoliaslip.lab.tcp import TcpEndpoint, TcpState
from magnoliaslip.packet.flow_key import RST, FlowKey, reverse_key, split_key
from magnoliaslip.packet.segment import Segment

HEALTH_REPORT_INTERVAL_S = 1.0
WARM_UPTIME_S = 3600.0  # reported at the start of a server that starts warm
DEFAULT_SLOTS = 4
DEFAULT_MAX_CONNECTIONS = 2000
PROCESSING_TIME_SPREAD = (0.5, 1.5)  # bounds, as multiples of the mean
MEAN_PROCESSING_TIME_S: Mapping[RequestKind, float] = {
    RequestKind.ORDER: 0.03,
    RequestKind.REPORT: 0.04,
    RequestKind.UPLOAD: 0.06,
    RequestKind.FEED: 0.01,
    RequestKind.STATUS: 0.005,
}


class ServerState(StrEnum):
    """States of a backend server in history records and health reports."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(slots=True, eq=False)
class _Job:
    """A request that the server holds; a feed remains after its processing ends.

    Attributes:
        request: The request.
        flow: Flow on which it arrived.
        deadline: When the caller no longer needs the answer, monotonic seconds.
        cancelled: Whether the caller has cancelled it.
        pushes: Number of pushes sent.
    """

    request: Request
    flow: "_Flow"
    deadline: float
    cancelled: bool = False
    pushes: int = 0


@dataclass(slots=True, eq=False)
class _Flow:
    endpoint: TcpEndpoint
    reader: MessageReader = field(default_factory=MessageReader)
    jobs: dict[str, _Job] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class _Timer:
    """Key of a deadline: its purpose and the flow or job that it applies to.

    Attributes:
        kind: ``report`` (next health report), ``flow`` (timer of the TCP endpoint),
            ``work`` (end of processing) or ``push`` (next push).
        subject: Flow key for ``flow``, job for ``work`` and ``push``, otherwise None.
    """

    kind: str
    subject: object = None


_REPORT_TIMER = _Timer("report")


class BackendServerModel:
    """Simulates a server that listens on service addresses inside the tunnel.

    Args:
        server: Its entry in the pool, with its limits on slots and connections.
        service: Name of the service that it belongs to.
        addresses: Service addresses whose packets it accepts.
        clock: Source of time.
        rng: Source of sequence numbers and processing times.
        send: Receives each outgoing IP packet.
        recorder: Receives the history records of the server.
        cold: Whether it starts cold.
        slot_cfg: Capacity, instead of the default with the slots of ``server``. The
            limit of connections always follows from ``server``.
        processing_time_factor: Multiplies the processing times, so that few requests
            cause a high load.

    Attributes:
        health: The health endpoint, with the mode of its reports.
        counters: Packets that were not handled: ``malformed`` (also data that is not a
            valid message), ``foreign`` (another address), ``unknown`` (no flow) and
            ``silenced`` (unresponsive flow); flows ``opened`` and ``refused``; requests
            ``shed`` and ``answered``, in full or not; ``restarts``, of which
            ``overloaded`` by load on the cold server.
        unresponsive: Whether it drops all packets in both directions.
    """

    def __init__(
        self,
        server: BackendServer,
        service: str,
        *,
        addresses: Collection[Address],
        clock: Clock,
        rng: Random,
        send: Callable[[bytes], None],
        recorder: Recorder | None = None,
        cold: bool = False,
        slot_cfg: SlotConfig | None = None,
        processing_time_factor: float = 1.0,
    ) -> None:
        self.server = server
        self.service = service
        self.health = HealthEndpoint()
        self.counters: Counter[str] = Counter()
        self.unresponsive = False
        self._addresses = frozenset(addresses)
        self._clock = clock
        self._rng = rng
        self._send = send
        self._recorder = recorder or NullRecorder()
        self._max_flows = server.connections or DEFAULT_MAX_CONNECTIONS
        slots = server.slots or DEFAULT_SLOTS
        self._slots: Slots[_Job] = Slots(slot_cfg or SlotConfig(slots=slots))
        self._flows: dict[FlowKey, _Flow] = {}
        self._unresponsive_flows: set[FlowKey] = set()
        self._deadlines: DeadlineQueue[_Timer] = DeadlineQueue()
        self._processing_time_factor = processing_time_factor
        self._started_at = clock.monotonic()
        self._last_recorded_state: tuple[ServerState, int] | None = None
        self._initialize(cold=cold)

    @property
    def next_deadline(self) -> float | None:
        """When `poll` must be called next, monotonic seconds, or None."""
        return self._deadlines.next_deadline

    @property
    def connections(self) -> int:
        """Number of flows that the server tracks."""
        return len(self._flows)

    @property
    def state(self) -> ServerState:
        """Cold or warm; after `drain`, draining while flows remain, then stopped."""
        if self._draining:
            return ServerState.DRAINING if self._flows else ServerState.STOPPED
        now = self._clock.monotonic()
        return ServerState.COLD if self._slots.is_cold(now) else ServerState.WARM

    def restart(self, *, cold: bool = True) -> None:
        """Discard all flows and requests without notifying the callers.

        It is a new process, which does not know that its predecessor was draining.
        """
        for key in self._flows:
            self._deadlines.set(_Timer("flow", key), None)
        for flow in self._flows.values():
            for job in flow.jobs.values():
                self._clear_timers(job)
        self._flows.clear()
        self._unresponsive_flows.clear()
        self.counters["restarts"] += 1
        self._initialize(cold=cold)

    def drain(self) -> None:
        """Refuse new flows until the next restart; existing flows continue."""
        self._draining = True
        self._record_state()

    def make_flows_unresponsive(self) -> None:
        """Ignore all current flows until the next restart; new flows work."""
        self._unresponsive_flows.update(self._flows)

    def health_report(self) -> ServerHealthReport:
        """Return the current answer of the health endpoint, which may be inaccurate."""
        return self.health.answer(self._current_report())

    def on_packet(self, packet: bytes) -> None:
        """Handle an inner IP packet received through the tunnel."""
        if self.unresponsive:
            return
        try:
            segment = Segment.decode(packet)
        except PacketError:
            self.counters["malformed"] += 1
            return
        key = segment.key
        tracked = key in self._flows
        self._recorder.record(
            "segment",
            server=self.server.name,
            service=self.service,
            flow=key.hex(),
            segment=_segment_kind(segment),
            known=tracked,
        )
        if split_key(key)[1] not in self._addresses:
            self.counters["foreign"] += 1
        elif key in self._unresponsive_flows:
            self.counters["silenced"] += 1
        elif tracked:
            self._on_flow_segment(key, segment)
        elif segment.is_syn:
            self._on_syn(segment)
        elif not segment.flags & RST:
            self.counters["unknown"] += 1
            self._send_if_responsive(segment.reset_reply().encode())

    def poll(self, now: float) -> None:
        """Handle due timers: retransmissions, ends of processing, pushes, reports."""
        for timer in self._deadlines.pop_due(now):
            subject = timer.subject
            if timer.kind == "report":
                self.health.record(now, self._current_report())
                self._record_state()
                self._deadlines.set(_REPORT_TIMER, now + HEALTH_REPORT_INTERVAL_S)
            elif timer.kind == "work":
                self._end_processing(subject)
            elif timer.kind == "push":
                self._send_push(subject)
            elif subject in self._flows:
                self._flows[subject].endpoint.poll(now)
                self._update_flow(subject)

    def _initialize(self, *, cold: bool) -> None:
        now = self._clock.monotonic()
        # A server that starts warm represents one that has been running for long.
        self._started_at = now if cold else now - WARM_UPTIME_S
        self._slots.restart(cold_since=now if cold else None)
        self._draining = False
        self._last_recorded_state = None
        self._record_state()
        self._deadlines.set(_REPORT_TIMER, now + HEALTH_REPORT_INTERVAL_S)

    def _current_report(self) -> ServerHealthReport:
        return ServerHealthReport(
            server=self.server.name,
            service=self.service,
            state=self.state,
            uptime_s=self._clock.monotonic() - self._started_at,
            load=self._slots.load,
            connections=self.connections,
        )

    def _record_state(self) -> None:
        state, capacity = self.state, self._slots.capacity(self._clock.monotonic())
        if (state, capacity) == self._last_recorded_state:
            return
        self._last_recorded_state = (state, capacity)
        self._recorder.record(
            "server_state",
            server=self.server.name,
            service=self.service,
            state=state,
            bears=capacity,
        )

    def _send_if_responsive(self, packet: bytes) -> None:
        # Bytes 12 to 24 of the packet are its flow key.
        if self.unresponsive or (
            self._unresponsive_flows
            and reverse_key(packet[12:24]) in self._unresponsive_flows
        ):
            return
        self._send(packet)

    def _on_syn(self, segment: Segment) -> None:
        busy = len(self._flows) >= self._max_flows or self._slots.is_full
        if self._draining or busy:
            self.counters["refused"] += 1
            self._send_if_responsive(segment.reset_reply().encode())
            return
        endpoint = TcpEndpoint.accept(
            segment, clock=self._clock, rng=self._rng, send=self._send_if_responsive
        )
        self._flows[segment.key] = _Flow(endpoint)
        self.counters["opened"] += 1
        self._update_flow(segment.key)

    def _on_flow_segment(self, key: FlowKey, segment: Segment) -> None:
        flow = self._flows[key]
        flow.endpoint.on_segment(segment)
        try:
            messages = flow.reader.feed(flow.endpoint.read())
        except ProtocolError:
            self.counters["malformed"] += 1
            flow.endpoint.abort()
            messages = []
        for msg in messages:
            self._on_message(flow, msg)
            if key not in self._flows:  # the server restarted on overload
                return
        self._update_flow(key)

    def _update_flow(self, key: FlowKey) -> None:
        """Close or remove a flow as its endpoint requires, and set its timer."""
        flow = self._flows[key]
        if flow.endpoint.eof:
            for job in [job for job in flow.jobs.values() if self._is_idle_feed(job)]:
                self._finish(job, complete=True)
            if not flow.jobs:
                flow.endpoint.close()
        timer = _Timer("flow", key)
        if flow.endpoint.is_finished:
            del self._flows[key]
            self._deadlines.set(timer, None)
            for job in flow.jobs.values():
                self._deadlines.set(_Timer("push", job), None)
                self._slots.withdraw(job)
            if self._draining:
                self._record_state()
        else:
            self._deadlines.set(timer, flow.endpoint.next_deadline)

    def _on_message(self, flow: _Flow, msg: Message) -> None:
        if isinstance(msg, Request):
            self._on_request(flow, msg)
        elif isinstance(msg, Cancel) and (job := flow.jobs.get(msg.id)):
            if self._is_idle_feed(job):
                self._finish(job, complete=True)
            elif job.request.kind is not RequestKind.FEED and self._slots.withdraw(job):
                self._finish(job, complete=False, shed=True)
            else:
                job.cancelled = True

    def _on_request(self, flow: _Flow, request: Request) -> None:
        now = self._clock.monotonic()
        job = _Job(request, flow, deadline=now + request.timeout_ms / 1000)
        flow.jobs[request.id] = job
        admission = self._slots.admit(job, now=now)
        if admission is Admission.STARTED:
            self._start_processing(job)
        elif admission is Admission.SHED:
            self._finish(job, complete=False, shed=True)
        elif admission is Admission.OVERLOADED:
            self.counters["overloaded"] += 1
            self.restart()

    def _start_processing(self, job: _Job) -> None:
        now = self._clock.monotonic()
        if now >= job.deadline:
            self._finish(job, complete=False, shed=True)
            self._release_slot()
            return
        self._record_request(job, "start")
        processing_time_s = MEAN_PROCESSING_TIME_S[
            job.request.kind
        ] * self._rng.uniform(*PROCESSING_TIME_SPREAD)
        self._deadlines.set(
            _Timer("work", job), now + processing_time_s * self._processing_time_factor
        )

    def _release_slot(self) -> None:
        for job in self._slots.release(now=self._clock.monotonic()):
            self._start_processing(job)

    def _end_processing(self, job: _Job) -> None:
        if job.request.kind is RequestKind.FEED and not job.cancelled:
            self._record_request(job, "idle")
            self._send_push(job)
        else:
            self._finish(job, complete=True)
        self._release_slot()

    def _is_idle_feed(self, job: _Job) -> bool:
        """Check whether the job is a feed that has begun to push and holds no slot."""
        return job.pushes > 0

    def _send_push(self, job: _Job) -> None:
        flow = job.flow
        if flow.endpoint.state is not TcpState.ESTABLISHED or flow.endpoint.is_closing:
            return
        now = self._clock.monotonic()
        if now >= job.deadline:
            self._finish(job, complete=False)
            return
        job.pushes += 1
        push = Push(job.request.id, self.service, self.server.name, job.pushes)
        self._write(flow, push)
        interval_s = max(job.request.interval_ms, 1) / 1000
        self._deadlines.set(_Timer("push", job), now + interval_s)

    def _finish(self, job: _Job, *, complete: bool, shed: bool = False) -> None:
        request = job.request
        job.flow.jobs.pop(request.id, None)
        self._deadlines.set(_Timer("push", job), None)
        self._record_request(job, "shed" if shed else "end")
        self.counters["shed" if shed else "answered"] += 1
        answer = Answer(
            id=request.id,
            service=self.service,
            server=self.server.name,
            complete=complete,
            checksum=request.checksum,
            shed=shed,
            pushes=job.pushes,
            body=bytes(request.answer_bytes if complete else 0),
        )
        self._write(job.flow, answer)

    def _write(self, flow: _Flow, msg: Message) -> None:
        """Write to a flow unless it has been closed in the meantime."""
        key = reverse_key(flow.endpoint.key)
        if self._flows.get(key) is not flow or flow.endpoint.is_closing:
            return
        flow.endpoint.write(encode_message(msg))
        if flow.endpoint.eof and not flow.jobs:
            flow.endpoint.close()
        self._deadlines.set(_Timer("flow", key), flow.endpoint.next_deadline)

    def _clear_timers(self, job: _Job) -> None:
        self._deadlines.set(_Timer("work", job), None)
        self._deadlines.set(_Timer("push", job), None)

    def _record_request(self, job: _Job, phase: str) -> None:
        self._recorder.record(
            "request",
            server=self.server.name,
            service=self.service,
            flow=reverse_key(job.flow.endpoint.key).hex(),
            request=job.request.id,
            phase=phase,
            idempotent=job.request.idempotent,
        )


def _segment_kind(segment: Segment) -> str:
    if segment.is_syn:
        return "open"
    return "payload" if segment.payload else "other"
