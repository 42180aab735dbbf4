"""Workload of a caller: a seeded mix of requests grouped into sessions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from magnoliaslip.lab.protocol import RequestKind

IDEMPOTENT_KINDS = frozenset({RequestKind.FEED, RequestKind.STATUS, RequestKind.UPLOAD})
# Bounds of the body sizes; ORDER_BYTES also applies to reports.
UPLOAD_BYTES = (2_000, 40_000)
ORDER_BYTES = (100, 800)
ANSWER_BYTES = (50, 4_000)
DEFAULT_MIX: Mapping[RequestKind, float] = {
    RequestKind.FEED: 2,
    RequestKind.ORDER: 3,
    RequestKind.REPORT: 1,
    RequestKind.UPLOAD: 1,
    RequestKind.STATUS: 3,
}


@dataclass(slots=True, frozen=True)
class WorkloadConfig:
    """Workload of one caller.

    Attributes:
        sessions_per_s: Mean rate at which sessions start, regardless of outstanding
            requests.
        requests: Bounds of the number of requests per session.
        think_s: Bounds of the pause between two requests of a session.
        feed_s: Bounds of the time that a feed stays open.
        interval_ms: Time between two pushes of a feed.
        timeout_s: Time within which a request must be answered completely, over all
            attempts; for a feed, counted from its end.
        attempts: Maximum number of attempts for a request that may be retried.
        retry_refused: Whether a request that is not idempotent is also retried after
            a refused connection attempt or shedding, relying on either to mean that
            it did not run.
        mix: Weight of each kind of request.
        weights: Weight of each service; 1 by default.
    """

    sessions_per_s: float = 10.0
    requests: tuple[int, int] = (1, 4)
    think_s: tuple[float, float] = (0.1, 1.0)
    feed_s: tuple[float, float] = (5.0, 60.0)
    interval_ms: int = 1_000
    timeout_s: float = 10.0
    attempts: int = 3
    retry_refused: bool = False
    mix: Mapping[RequestKind, float] = field(default_factory=lambda: dict(DEFAULT_MIX))
    weights: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """A request before it is sent.

    Attributes:
        kind: Requested operation.
        payload_bytes: Size of its body.
        answer_bytes: Size of the answer's body.
        feed_duration_s: How long a feed stays open; 0 for other kinds.
        think_s: Pause before the request.
    """

    kind: RequestKind
    payload_bytes: int
    answer_bytes: int
    feed_duration_s: float
    think_s: float

    @property
    def idempotent(self) -> bool:
        """Whether the request may run twice."""
        return self.kind in IDEMPOTENT_KINDS


class WorkloadGenerator:
    """Generates random sessions.

    >>> generator = WorkloadGenerator(WorkloadConfig(), ["rota"], Random(1))
    >>> generator.next_service()
    'rota'
    >>> all(req.payload_bytes >= 0 for req in generator.next_session())
    True
    """

    __slots__ = ("_cfg", "_rng", "_services", "_weights")

    def __init__(self, cfg: WorkloadConfig, services: list[str], rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._services = services
        self._weights = [cfg.weights.get(service, 1.0) for service in services]

    def next_interarrival_s(self) -> float:
        """Return the time until the next session starts."""
        return self._rng.expovariate(self._cfg.sessions_per_s)

    def next_service(self) -> str:
        """Return the service of the next session."""
        return self._rng.choices(self._services, self._weights)[0]

    def next_session(self) -> list[PlannedRequest]:
        """Return the requests of one session in order."""
        count = self._rng.randint(*self._cfg.requests)
        kinds = self._rng.choices(
            list(self._cfg.mix), list(self._cfg.mix.values()), k=count
        )
        return [
            self._plan_request(kind, first=at == 0) for at, kind in enumerate(kinds)
        ]

    def _plan_request(self, kind: RequestKind, *, first: bool) -> PlannedRequest:
        rng, cfg = self._rng, self._cfg
        if kind is RequestKind.UPLOAD:
            payload = rng.randint(*UPLOAD_BYTES)
        elif kind in (RequestKind.ORDER, RequestKind.REPORT):
            payload = rng.randint(*ORDER_BYTES)
        else:
            payload = 0
        return PlannedRequest(
            kind=kind,
            payload_bytes=payload,
            answer_bytes=rng.randint(*ANSWER_BYTES),
            feed_duration_s=rng.uniform(*cfg.feed_s)
            if kind is RequestKind.FEED
            else 0.0,
            think_s=0.0 if first else rng.uniform(*cfg.think_s),
        )
