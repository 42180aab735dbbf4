"""Health and load endpoints of backend servers, truthful or not."""

from collections import deque
from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace

STALE_REPORT_AGE_S = 10.0  # how old the answers of a lagging endpoint are


class HealthMode(StrEnum):
    """How far the endpoint can be trusted."""

    ACCURATE = "honest"
    STALE = "lagging"
    WRONG = "lying"


class HealthReport(Struct, frozen=True):
    """What the endpoint of a backend server states."""

    server: str
    service: str
    state: str
    uptime_s: float
    load: float
    connections: int


class HealthEndpoint:
    """Answers with the present report, an old one, or an idle warm server."""

    __slots__ = ("_reports", "mode")

    def __init__(self) -> None:
        self.mode = HealthMode.ACCURATE
        self._reports: deque[tuple[float, HealthReport]] = deque()

    def record(self, now: float, report: HealthReport) -> None:
        """Keep a report for a lagging answer; called about once a second."""
        self._reports.append((now, report))
        while (
            len(self._reports) > 1 and self._reports[1][0] <= now - STALE_REPORT_AGE_S
        ):
            self._reports.popleft()

    def answer(self, report: HealthReport) -> HealthReport:
        """Return what the endpoint states while ``report`` is the truth."""
        if self.mode is HealthMode.STALE and self._reports:
            return self._reports[0][1]
        if self.mode is HealthMode.WRONG:
            return replace(report, state="warm", uptime_s=86_400.0, load=0.0)
        return report
