"""Log lines as JSON on a descriptor that must never block the process."""

from collections import Counter
from logging import ERROR, Handler, LogRecord, getLogger
from os import set_blocking, write

from msgspec.json import Encoder

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event

# Lines of this length are written to a pipe whole or not at all.
MAX_LINE_BYTES = 4096

_ENCODER = Encoder(enc_hook=str)

logger = getLogger(__name__)


class LineBudget:
    """Bounds the lines per second; what is left out is counted by event.

    Args:
        lines_per_s: Lines per second over time; twice as many in one second.
        clock: Source of time.
    """

    __slots__ = ("_at", "_clock", "_rate", "_tokens", "left_out")

    def __init__(self, lines_per_s: int, *, clock: Clock) -> None:
        self._rate = lines_per_s
        self._clock = clock
        self._tokens = 2.0 * lines_per_s
        self._at = clock.monotonic()
        self.left_out: Counter[str] = Counter()

    def admits(self, name: str) -> bool:
        """Return whether a line may be written; counts it when it may not."""
        now = self._clock.monotonic()
        gained = (now - self._at) * self._rate
        self._tokens = min(2.0 * self._rate, self._tokens + gained)
        self._at = now
        if self._tokens < 1.0:
            self.left_out[name] += 1
            return False
        self._tokens -= 1.0
        return True


class JsonLineHandler(Handler):
    """Writes each record as one JSON line, or counts it.

    Args:
        fd: Descriptor; is made non-blocking.
        budget: Bounds the lines; errors are written in any case.

    Attributes:
        written: Lines that were written.
        unread: Lines that were lost because nobody reads the descriptor.
    """

    def __init__(self, fd: int, *, budget: LineBudget) -> None:
        super().__init__()
        set_blocking(fd, False)
        self._fd = fd
        self._budget = budget
        self.written = 0
        self.unread = 0

    def emit(self, record: LogRecord) -> None:
        """Write one record; never blocks and never raises."""
        event: Event | None = getattr(record, "event", None)
        name = event.name if event else record.name
        if record.levelno < ERROR and not self._budget.admits(name):
            return
        at = getattr(record, "at", None) or record.created
        line = {"t": round(at, 3), "level": record.levelname.lower()}
        if event is not None:
            line |= {"code": f"MS{event.number}", "event": name, **record.fields}
        else:
            line |= {"logger": record.name, "message": record.getMessage()}
            if record.exc_info and record.exc_info[1] is not None:
                line["error"] = repr(record.exc_info[1])
        data = _ENCODER.encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            write(self._fd, data)
            self.written += 1
        except OSError:
            # Full or closed pipe: the packets go on, the loss is a metric.
            self.unread += 1

    def report_left_out(self) -> None:
        """Sum up the lines that the budget left out since the last report."""
        left_out = self._budget.left_out
        if left_out:
            counts = dict(left_out)
            left_out.clear()
            log_event(logger, Event.LOG_LIMITED, left_out=counts)
