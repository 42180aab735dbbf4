"""Simulated caller: an open-loop workload with a record of each call's outcome."""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from random import Random

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.lab._session import Call, Session, Timer
from magnoliaslip.lab.deadlines import DeadlineQueue
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
from magnoliaslip.lab.tcp import TcpEndpoint, TcpFailure, TcpState
from magnoliaslip.lab.workload import PlannedRequest, WorkloadConfig, WorkloadGenerator
from magnoliaslip.packet.flow_key import FlowKey, make_key, reverse_key
from magnoliaslip.packet.segment import Segment

FIRST_PORT = 1024
LAST_PORT = 65_535
RETRY_BACKOFF_S = 0.2  # doubled for each further attempt, with a jitter of up to half


_ARRIVAL_TIMER = Timer("arrival")


class CallerModel:
    """Opens flows to service addresses and checks the answers.

    Args:
        name: Prefix of request identifiers.
        host: IPv4 address of the caller.
        services: Service address by service name.
        clock: Source of time.
        rng: Source of the workload and of sequence numbers.
        send: Receives each outgoing IP packet.
        recorder: Receives the history records of the caller.
        cfg: The workload.

    Attributes:
        counters: ``calls``, ``answered`` and, for calls without a complete answer in
            time, ``failed`` and ``failed_<reason>`` (``refused``, ``reset``,
            ``timeout``, ``shed`` or ``incomplete``); attempts that were ``refused``,
            ``shed`` or ``retried``; ``flows`` (connection attempts),
            ``flows_established``, ``flows_closed``, ``flows_broken``; ``wrong`` for
            malformed messages, missing pushes and messages of another service or call;
            ``malformed`` packets; ``late`` packets of flows that no longer exist.
        answered_by: Complete answers by service and backend server.
        metrics: Histogram ``answer`` of the time in microseconds from the last attempt
            to the complete answer, without feeds.
    """

    def __init__(
        self,
        name: str,
        host: str,
        services: Mapping[str, Address],
        *,
        clock: Clock,
        rng: Random,
        send: Callable[[bytes], None],
        recorder: Recorder | None = None,
        cfg: WorkloadConfig | None = None,
    ) -> None:
        self.name = name
        self.counters: Counter[str] = Counter()
        self.answered_by: Counter[tuple[str, str]] = Counter()
        self.metrics = Metrics()
        self._host = host
        self._services = dict(services)
        self._clock = clock
        self._rng = rng
        self._send = send
        self._recorder = recorder or NullRecorder()
        self._cfg = cfg or WorkloadConfig()
        self._generator = WorkloadGenerator(self._cfg, list(self._services), rng)
        self._sessions: set[Session] = set()
        self._flows: dict[FlowKey, Session] = {}
        self._closing: dict[FlowKey, TcpEndpoint] = {}
        self._deadlines: DeadlineQueue[Timer | FlowKey] = DeadlineQueue()
        self._port = rng.randint(FIRST_PORT, LAST_PORT)
        self._stopping = False

    @property
    def next_deadline(self) -> float | None:
        """When `poll` must be called next, monotonic seconds, or None."""
        return self._deadlines.next_deadline

    @property
    def is_idle(self) -> bool:
        """Whether no session is in progress."""
        return not self._sessions

    def start(self) -> None:
        """Start to open sessions; has no effect after `stop`."""
        self._schedule_arrival()

    def stop(self) -> None:
        """Plan no more sessions or requests; cancel feeds, let other calls finish."""
        self._stopping = True
        self._deadlines.set(_ARRIVAL_TIMER, None)
        for session in list(self._sessions):
            session.plans.clear()
            if session.call is None:
                self._end_session(session)
            elif session.call.plan.kind is RequestKind.FEED:
                self._cancel_feed(session)

    def open_session(self, service: str, plans: list[PlannedRequest]) -> None:
        """Start one session in addition to those of the workload."""
        session = Session(service, deque(plans))
        self._sessions.add(session)
        self._connect(session)
        self._plan_next_call(session)

    def on_packet(self, packet: bytes) -> None:
        """Handle an inner IP packet addressed to this caller."""
        try:
            segment = Segment.decode(packet)
        except PacketError:
            self.counters["malformed"] += 1
            return
        key = reverse_key(segment.key)
        if session := self._flows.get(key):
            session.endpoint.on_segment(segment)
            self._update_session(session)
        elif endpoint := self._closing.get(key):
            endpoint.on_segment(segment)
            self._update_closing_flow(key, endpoint)
        else:
            self.counters["late"] += 1

    def poll(self, now: float) -> None:
        """Handle due timers: arrivals, retransmissions, deadlines, ends of feeds."""
        for timer in self._deadlines.pop_due(now):
            if isinstance(timer, bytes):
                self._poll_flow(timer, now)
            elif timer.kind == "arrival":
                self.open_session(
                    self._generator.next_service(), self._generator.next_session()
                )
                self._schedule_arrival()
            elif timer.session not in self._sessions:
                continue
            elif timer.kind == "deadline":
                self._on_deadline(timer.session)
            elif timer.kind == "think":
                self._send_call(timer.session)
            elif timer.kind == "hold":
                self._cancel_feed(timer.session)
            else:
                self._connect(timer.session)

    def _schedule_arrival(self) -> None:
        if not self._stopping and self._cfg.sessions_per_s > 0:
            interarrival_s = self._generator.next_interarrival_s()
            self._deadlines.set(
                _ARRIVAL_TIMER, self._clock.monotonic() + interarrival_s
            )

    def _poll_flow(self, key: FlowKey, now: float) -> None:
        if session := self._flows.get(key):
            session.endpoint.poll(now)
            self._update_session(session)
        elif endpoint := self._closing.get(key):
            endpoint.poll(now)
            self._update_closing_flow(key, endpoint)

    def _connect(self, session: Session) -> None:
        service = self._services[session.service]
        while True:
            self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
            key = make_key(Address(self._host, self._port), service)
            if key not in self._flows and key not in self._closing:
                break
        session.key = key
        session.established = False
        session.reader = MessageReader()
        self._flows[key] = session
        self.counters["flows"] += 1
        self._record(session, "open")
        session.endpoint = TcpEndpoint(
            key, clock=self._clock, rng=self._rng, send=self._send
        )
        self._deadlines.set(key, session.endpoint.next_deadline)

    def _plan_next_call(self, session: Session) -> None:
        """Schedule the next request; its deadline counts from the planned send time."""
        plan = session.plans.popleft()
        now = self._clock.monotonic()
        self.counters["calls"] += 1
        call_id = f"{self.name}-{self.counters['calls']}"
        send_at = now + plan.think_s
        deadline = send_at + plan.feed_duration_s + self._cfg.timeout_s
        session.call = Call(call_id, plan, send_at, deadline)
        self._deadlines.set(Timer("deadline", session), deadline)
        if plan.think_s:
            self._deadlines.set(Timer("think", session), send_at)
        else:
            self._send_call(session)

    def _send_call(self, session: Session) -> None:
        call, now = session.call, self._clock.monotonic()
        if not session.established or call is None or call.request is not None:
            return
        plan = call.plan
        call.pushes = 0
        call.sent_at = now
        call.request = Request(
            id=call.id,
            kind=plan.kind,
            idempotent=plan.idempotent,
            timeout_ms=max(1, int((call.deadline - now) * 1000)),
            payload=self._rng.randbytes(plan.payload_bytes),
            answer_bytes=plan.answer_bytes,
            interval_ms=self._cfg.interval_ms,
        )
        self._record(session, "sent")
        if plan.kind is RequestKind.FEED:
            # The deadline counts from the planned end of the first attempt, so a
            # retried feed ends at that time as well.
            remaining_s = call.deadline - self._cfg.timeout_s - now
            feed_duration_s = (
                0.0
                if self._stopping
                else max(0.0, min(plan.feed_duration_s, remaining_s))
            )
            self._deadlines.set(Timer("hold", session), now + feed_duration_s)
        self._write(session, call.request)

    def _write(self, session: Session, msg: Message) -> None:
        session.endpoint.write(encode_message(msg))
        self._deadlines.set(session.key, session.endpoint.next_deadline)

    def _cancel_feed(self, session: Session) -> None:
        call = session.call
        if session.established and call is not None and call.request is not None:
            self._write(session, Cancel(call.id))

    def _update_session(self, session: Session) -> None:
        """Handle failure, progress and received messages of a session's endpoint."""
        endpoint = session.endpoint
        if endpoint.failure is not None:
            self._on_failure(session, endpoint.failure)
            return
        if not session.established and endpoint.state is TcpState.ESTABLISHED:
            session.established = True
            self.counters["flows_established"] += 1
            self._record(session, "established")
            if session.call and self._clock.monotonic() >= session.call.send_at:
                self._send_call(session)
        try:
            messages = session.reader.feed(endpoint.read())
        except ProtocolError:
            self.counters["wrong"] += 1
            endpoint.abort()
            self._on_failure(session, TcpFailure.ABORTED)
            return
        for msg in messages:
            self._on_message(session, msg)
        if session.endpoint is endpoint and endpoint.eof and session.call:
            # The server closed the flow during a call, so no answer can follow.
            endpoint.abort()
            self._on_failure(session, TcpFailure.RESET)
        elif session.endpoint is endpoint:
            self._deadlines.set(session.key, endpoint.next_deadline)

    def _on_message(self, session: Session, msg: Message) -> None:
        call = session.call
        if call is None or call.request is None or msg.id != call.id:
            self.counters["wrong"] += 1
        elif isinstance(msg, Push):
            call.pushes += 1
            if msg.number != call.pushes or msg.service != session.service:
                self.counters["wrong"] += 1
        elif isinstance(msg, Answer):
            self._on_answer(session, call, msg)

    def _on_answer(self, session: Session, call: Call, answer: Answer) -> None:
        if answer.shed:
            self.counters["shed"] += 1
            self._retry(session, "shed")
            return
        from_own_service = answer.service == session.service
        is_complete = (
            from_own_service
            and answer.complete
            and answer.checksum == call.request.checksum
            and len(answer.body) == call.plan.answer_bytes
            and answer.pushes == call.pushes
        )
        self._record(
            session, "answered", complete=is_complete, answered_by=answer.server
        )
        if not from_own_service:
            self.counters["wrong"] += 1
        if is_complete:
            self.counters["answered"] += 1
            self.answered_by[session.service, answer.server] += 1
            if call.plan.kind is not RequestKind.FEED:
                elapsed_s = self._clock.monotonic() - call.sent_at
                self.metrics.observe_us("answer", elapsed_s * 1e6)
        else:
            self._count_failure("incomplete")
        self._end_call(session)
        if session.plans:
            self._plan_next_call(session)
        else:
            self._end_session(session)

    def _on_deadline(self, session: Session) -> None:
        self._record(session, "timeout")
        self._count_failure("timeout")
        self._end_call(session)
        if session.established:
            self.counters["flows_broken"] += 1
        if session.key in self._flows:
            session.endpoint.abort()
        self._remove_flow(session)
        self._continue_session(session)

    def _on_failure(self, session: Session, failure: TcpFailure) -> None:
        refused = failure is TcpFailure.REFUSED
        reset = failure is not TcpFailure.TIMEOUT
        phase = "refused" if refused else "reset" if reset else "timeout"
        self._record(session, phase)
        if refused:
            self.counters["refused"] += 1
        elif session.established:
            self.counters["flows_broken"] += 1
        waiting_to_send = (
            session.established and session.call and not session.call.request
        )
        self._remove_flow(session)
        if session.call is None:
            self._continue_session(session)
        elif waiting_to_send:
            self._connect(session)  # not a retry, as nothing was sent
        else:
            self._retry(session, phase)

    def _retry(self, session: Session, reason: str) -> None:
        """Retry the current call if that is allowed, otherwise count its failure.

        A retry that would begin after the deadline is left out; the call then fails at
        its deadline.
        """
        call, now = session.call, self._clock.monotonic()
        backoff_s = RETRY_BACKOFF_S * 2 ** (call.attempt - 1)
        retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)
        not_run = reason in ("refused", "shed")
        may_retry = call.plan.idempotent or (self._cfg.retry_refused and not_run)
        if not may_retry or call.attempt >= self._cfg.attempts:
            self._count_failure(reason)
            self._end_call(session)
            self._continue_session(session)
        elif retry_at < call.deadline:
            call.attempt += 1
            call.request = None
            self.counters["retried"] += 1
            self._deadlines.set(Timer("hold", session), None)
            kind = "think" if session.established else "connect"
            self._deadlines.set(Timer(kind, session), retry_at)

    def _continue_session(self, session: Session) -> None:
        """Continue a session after a failed call, on a new flow if needed."""
        if not session.plans:
            self._end_session(session)
            return
        if session.key not in self._flows:
            self._connect(session)
        self._plan_next_call(session)

    def _end_call(self, session: Session) -> None:
        session.call = None
        for kind in ("deadline", "think", "hold", "connect"):
            self._deadlines.set(Timer(kind, session), None)

    def _remove_flow(self, session: Session) -> None:
        self._flows.pop(session.key, None)
        self._deadlines.set(session.key, None)
        session.established = False

    def _end_session(self, session: Session) -> None:
        """Close the flow; its endpoint remains until it is finished."""
        self._sessions.discard(session)
        self._end_call(session)
        if self._flows.pop(session.key, None) is None:
            return
        self._record(session, "closed")
        self.counters["flows_closed"] += 1
        session.endpoint.close()
        self._closing[session.key] = session.endpoint
        self._update_closing_flow(session.key, session.endpoint)

    def _update_closing_flow(self, key: FlowKey, endpoint: TcpEndpoint) -> None:
        if endpoint.is_finished:
            del self._closing[key]
            self._deadlines.set(key, None)
        else:
            self._deadlines.set(key, endpoint.next_deadline)

    def _count_failure(self, reason: str) -> None:
        self.counters["failed"] += 1
        self.counters[f"failed_{reason}"] += 1

    def _record(
        self,
        session: Session,
        phase: str,
        *,
        complete: bool = False,
        answered_by: str = "",
    ) -> None:
        self._recorder.record(
            "call",
            flow=session.key.hex(),
            request=session.call.id if session.call else "",
            service=session.service,
            phase=phase,
            complete=complete,
            answered_by=answered_by,
        )
