"""Health and load endpoint of a backend server, with stale and wrong reports."""

from collections import deque
from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace

STALE_REPORT_AGE_S = 10.0  # age of the reports in mode STALE


class HealthMode(StrEnum):
    """Accuracy of the reports; experiment files and ``/lab/fault`` use the values."""

    ACCURATE = "honest"
    STALE = "lagging"
    WRONG = "lying"


class ServerHealthReport(Struct, frozen=True):
    """Answer of the health and load endpoint of a backend server.

    Attributes:
        server: Name of the backend server.
        service: Name of its service.
        state: One of the values of `ServerState`.
        uptime_s: Seconds since the server started.
        load: Requests in progress and waiting, divided by the number of slots.
        connections: Number of open flows.
    """

    server: str
    service: str
    state: str
    uptime_s: float
    load: float
    connections: int


class HealthEndpoint:
    """Answers with the current report, a stale one, or that of an idle warm server."""

    __slots__ = ("_reports", "mode")

    def __init__(self) -> None:
        self.mode = HealthMode.ACCURATE
        self._reports: deque[tuple[float, ServerHealthReport]] = deque()

    def record(self, now: float, report: ServerHealthReport) -> None:
        """Store a report for stale answers; called about once a second."""
        self._reports.append((now, report))
        while (
            len(self._reports) > 1 and self._reports[1][0] <= now - STALE_REPORT_AGE_S
        ):
            self._reports.popleft()

    def answer(self, report: ServerHealthReport) -> ServerHealthReport:
        """Return the endpoint's answer when ``report`` is accurate."""
        if self.mode is HealthMode.STALE and self._reports:
            return self._reports[0][1]
        if self.mode is HealthMode.WRONG:
            return replace(report, state="warm", uptime_s=86_400.0, load=0.0)
        return report
