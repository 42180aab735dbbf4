"""Records for the history checker, as JSON lines."""

from typing import Any, BinaryIO

from msgspec.json import Encoder

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.recorder import Recorder


class FileRecorder(Recorder):
    """Appends each record as one JSON line with time and process.

    Args:
        file: Unbuffered binary file.
        process_name: Identifier of the process.
        clock: Source of the monotonic time ``t`` of each record.
    """

    __slots__ = ("_clock", "_encoder", "_file", "_process_name")

    def __init__(self, file: BinaryIO, *, process_name: str, clock: Clock) -> None:
        self._file = file
        self._process_name = process_name
        self._clock = clock
        self._encoder = Encoder()

    def record(self, kind: str, **fields: Any) -> None:
        """Append the record of one action."""
        record = {"t": self._clock.monotonic(), "who": self._process_name, "kind": kind}
        self._file.write(self._encoder.encode(record | fields) + b"\n")
