"""Log lines as JSON on a descriptor that must never block the process.

Used by instances with server tags; instances with tunnels write plain text.
"""

from collections import Counter
from logging import ERROR, Handler, LogRecord, getLogger
from os import set_blocking, write

from msgspec import Raw
from msgspec.json import Encoder

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event

# Fields of longer lines are cut: writes of up to this length to a pipe are atomic.
MAX_LINE_BYTES = 4096
# If a line is too long and no field is longer than this, it has too many fields.
MIN_CUT_BYTES = 64

_ENCODER = Encoder(enc_hook=str)

logger = getLogger(__name__)


class LineRateLimiter:
    """Limits the lines per second with a token bucket.

    Args:
        lines_per_s: Sustained rate; a burst may have twice as many lines.
        clock: Source of time.

    Attributes:
        suppressed: Lines suppressed since the last report, by event or logger.
    """

    __slots__ = ("_clock", "_lines_per_s", "_refilled_at", "_tokens", "suppressed")

    def __init__(self, lines_per_s: int, *, clock: Clock) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._tokens = 2.0 * lines_per_s
        self._refilled_at = clock.monotonic()
        self.suppressed: Counter[str] = Counter()

    def allow(self, name: str) -> bool:
        """Take a token for a line; without one, count the line as suppressed.

        Args:
            name: Name of the event or of the logger.

        Returns:
            Whether the line may be written.
        """
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(2.0 * self._lines_per_s, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.suppressed[name] += 1
            return False
        self._tokens -= 1.0
        return True


class JsonLineHandler(Handler):
    """Writes each record as one JSON line, or counts it as suppressed or dropped.

    Args:
        fd: File descriptor; set to non-blocking mode.
        rate_limiter: Limits the lines; errors are always written.

    Attributes:
        written: Lines that were written.
        dropped: Lines that were lost because the pipe was full or closed.
    """

    def __init__(self, fd: int, *, rate_limiter: LineRateLimiter) -> None:
        super().__init__()
        set_blocking(fd, False)
        self._fd = fd
        self._rate_limiter = rate_limiter
        self.written = 0
        self.dropped = 0

    def emit(self, record: LogRecord) -> None:
        """Write one record; never blocks and never raises."""
        event: Event | None = getattr(record, "event", None)
        name = event.name if event else record.name
        if record.levelno < ERROR and not self._rate_limiter.allow(name):
            return
        at = getattr(record, "at", None) or record.created
        line = {"t": round(at, 3), "level": record.levelname.lower()}
        if event is not None:
            line |= {"code": f"MS{event.number}", "event": name, **record.fields}
        else:
            line |= {"logger": record.name, "message": record.getMessage()}
            if record.exc_info and record.exc_info[1] is not None:
                line["error"] = repr(record.exc_info[1])
        data = _encode_line(line)
        try:
            write(self._fd, data)
            self.written += 1
        except OSError:
            # Full or closed pipe: forwarding goes on, a metric counts the loss.
            self.dropped += 1

    def report_suppressed(self) -> None:
        """Log the count of suppressed lines by event since the last report."""
        suppressed = self._rate_limiter.suppressed
        if suppressed:
            counts = dict(suppressed)
            suppressed.clear()
            log_event(logger, Event.LOG_LIMITED, left_out=counts)


def _encode_line(line: dict[str, object]) -> bytes:
    """Encode a line that is short enough.

    The longest fields are cut first; the last fields are left out if that isn't enough.
    """
    data = _encode_value(line)
    while len(data) >= MAX_LINE_BYTES:
        texts = {name: _encode_value(value) for name, value in line.items()}
        longest = max(line, key=lambda name: len(texts[name]))
        if len(texts[longest]) > MIN_CUT_BYTES:
            value = line[longest]
            text = value if isinstance(value, str) else texts[longest].decode()
            line = line | {longest: text[: len(text) // 2] + "..."}
        else:
            line = dict(list(line.items())[: len(line) // 2])
        data = _encode_value(line)
    return data + b"\n"


def _encode_value(value: object) -> bytes:
    """Encode a value; what JSON or UTF-8 can't represent becomes escaped text.

    Text that was received can contain half of a surrogate pair.
    """
    try:
        return _ENCODER.encode(value)
    except Exception:
        if isinstance(value, dict):
            fields = {ascii(key)[1:-1]: _encode_value(v) for key, v in value.items()}
            return _ENCODER.encode({key: Raw(data) for key, data in fields.items()})
        return _ENCODER.encode(ascii(value))
