"""History records as JSON lines."""

from typing import Any, BinaryIO

from msgspec.json import Encoder

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.recorder import Recorder


class FileRecorder(Recorder):
    """Appends each record as one JSON line with time and process.

    Args:
        file: Unbuffered or line-buffered binary file.
        who: Identifier of the process.
        clock: Source of the monotonic time ``t`` of each record.
    """

    __slots__ = ("_clock", "_encoder", "_file", "_who")

    def __init__(self, file: BinaryIO, *, who: str, clock: Clock) -> None:
        self._file = file
        self._who = who
        self._clock = clock
        self._encoder = Encoder()

    def record(self, kind: str, **fields: Any) -> None:
        """Append one action."""
        record = {"t": self._clock.monotonic(), "who": self._who, "kind": kind}
        self._file.write(self._encoder.encode(record | fields) + b"\n")
