"""Polling of the health endpoints of backend servers."""

from abc import ABC, abstractmethod
from logging import getLogger

from anyio import create_task_group, fail_after, sleep
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode

from magnoliaslip.config.http_client import http_get
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.http_exchange import HttpProtocolError
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.placement.polled_servers import PolledServers

READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 1.0
# An instance that has to poll more servers polls them in rotation.
MAX_READS_PER_ROUND = 64
HEALTH_TARGET = "/v1/health"
MICROSECONDS_PER_SECOND = 1e6

logger = getLogger(__name__)


class HealthReport(Struct, frozen=True):
    """The part of a health response that is used; other keys are ignored.

    Attributes:
        uptime_s: Seconds since the backend server started.
    """

    uptime_s: float


class HealthSource(ABC):
    """Reads one health endpoint."""

    __slots__ = ()

    @abstractmethod
    async def read(self, address: Address) -> HealthReport | None:
        """Return the report of a backend server; None without one within 1 s."""


class HttpHealthSource(HealthSource):
    """Reads ``GET /v1/health`` over HTTP/1.1."""

    __slots__ = ()

    async def read(self, address: Address) -> HealthReport | None:
        """Return the report of a backend server; None without one within 1 s."""
        try:
            with fail_after(READ_TIMEOUT_S):
                response = await http_get(address, HEALTH_TARGET)
            if response.status != 200:
                return None
            return decode(response.body, type=HealthReport)
        except (OSError, TimeoutError, HttpProtocolError, DecodeError, ValidationError):
            return None


class HealthMonitor:
    """Polls the servers of services with slices that this instance owns.

    An endpoint that does not answer has no effect: refused and unanswered SYNs are
    better evidence about a server than an unresponsive endpoint.

    Args:
        polled_servers: Lists the endpoints to read and receives the reports.
        source: Reads one endpoint.
        clock: Source of monotonic time.
        metrics: Receives the durations of reads and the number without a report.
    """

    __slots__ = ("_clock", "_metrics", "_next_index", "_polled_servers", "_source")

    def __init__(
        self,
        polled_servers: PolledServers,
        *,
        source: HealthSource,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._polled_servers = polled_servers
        self._source = source
        self._clock = clock
        self._metrics = metrics
        self._next_index = 0

    async def run(self) -> None:
        """Read in rounds until cancelled."""
        while True:
            await self._read_round()
            await sleep(READ_INTERVAL_S)

    async def _read_round(self) -> None:
        to_poll = self._polled_servers.to_poll()
        if len(to_poll) > MAX_READS_PER_ROUND:
            first = self._next_index % len(to_poll)
            self._next_index = first + MAX_READS_PER_ROUND
            to_poll = (to_poll[first:] + to_poll[:first])[:MAX_READS_PER_ROUND]
        async with create_task_group() as tasks:
            for service, server in to_poll:
                if server.health is not None:
                    tasks.start_soon(
                        self._read_server, service, server.name, server.health
                    )

    async def _read_server(self, service: str, server: str, address: Address) -> None:
        started_at = self._clock.monotonic()
        report = await self._source.read(address)
        if report is None:
            self._metrics.counters["health_unanswered"] += 1
            return
        duration_s = self._clock.monotonic() - started_at
        self._metrics.observe_us("health_read", duration_s * MICROSECONDS_PER_SECOND)
        self._polled_servers.record_uptime(service, server, report.uptime_s)
