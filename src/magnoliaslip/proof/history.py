"""Histories, the merged records of all processes of one run.

>>> recorder = HistoryRecorder(lambda: 1.5, "i1", records := [])
>>> recorder.record("state", state="serving")
>>> History(records).of("state")[0]["state"]
'serving'
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any, Self

from msgspec.json import Decoder, Encoder

from magnoliaslip.core.recorder import Recorder

TRACE_LINES = 14

_encoder = Encoder(order="sorted")
_decoder = Decoder(dict[str, Any])


@dataclass(slots=True)
class Record:
    """Record of one action of one process.

    Attributes:
        t: Monotonic time in seconds.
        who: Identifier of the process.
        kind: Kind of action; section 9.1 of ``docs/design.md`` lists them.
        fields: Fields of that kind.
    """

    t: float
    who: str
    kind: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        return self.fields[name]

    def get(self, name: str, default: Any = None) -> Any:
        """Return a field, or a default if the record lacks it."""
        return self.fields.get(name, default)

    def encode(self) -> bytes:
        """Return the record as one line of JSON, without a line terminator."""
        return _encoder.encode(
            {"t": self.t, "who": self.who, "kind": self.kind, **self.fields}
        )

    @classmethod
    def decode(cls, line: bytes | str) -> Self:
        """Parse one line of JSON."""
        fields = _decoder.decode(line)
        return cls(fields.pop("t"), fields.pop("who"), fields.pop("kind"), fields)

    def __str__(self) -> str:
        hidden = ("flow", "service")
        text = " ".join(
            f"{k}={v}" for k, v in self.fields.items() if k not in hidden and v != ""
        )
        return f"{self.t:9.3f} {self.who:<8} {self.kind} {text}"


class HistoryRecorder(Recorder):
    """Appends the records of one process to a shared list.

    Args:
        now: Returns the monotonic time in seconds.
        who: Identifier of the process.
        records: List to append to.

    Attributes:
        muted: Whether records are discarded, for example once the process is killed.
    """

    __slots__ = ("_now", "_records", "_who", "muted")

    def __init__(
        self, now: Callable[[], float], who: str, records: list[Record]
    ) -> None:
        self.muted = False
        self._now = now
        self._who = who
        self._records = records

    def record(self, kind: str, **fields: Any) -> None:
        """Append one action with the current time."""
        if not self.muted:
            self._records.append(Record(self._now(), self._who, kind, fields))


class History:
    """All records of a run in order of time, indexed by kind and flow.

    Args:
        records: Records in any order; those with equal times keep their order.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        self.records = sorted(records, key=lambda record: record.t)
        self._by_kind: dict[str, list[Record]] = defaultdict(list)
        self._by_flow: dict[str, list[Record]] = defaultdict(list)
        for record in self.records:
            self._by_kind[record.kind].append(record)
            if flow := record.fields.get("flow"):
                self._by_flow[flow].append(record)

    def __len__(self) -> int:
        return len(self.records)

    @property
    def end(self) -> float:
        """Time of the last record."""
        return self.records[-1].t if self.records else 0.0

    @property
    def flows(self) -> dict[str, list[Record]]:
        """Records by flow, in order of time."""
        return self._by_flow

    def of(self, kind: str) -> list[Record]:
        """Return all records of a kind in order of time."""
        return self._by_kind.get(kind, [])

    def trace(self, flow: str, until: float) -> tuple[str, ...]:
        """Return the first and last records of a flow up to a time, as text."""
        records = [
            record for record in self._by_flow.get(flow, ()) if record.t <= until
        ]
        half = TRACE_LINES // 2
        if len(records) > TRACE_LINES:
            omitted = f"          ... {len(records) - TRACE_LINES} records omitted"
            parts = [*map(str, records[:half]), omitted, *map(str, records[-half:])]
            return tuple(parts)
        return tuple(map(str, records))

    def digest(self) -> str:
        """Return the SHA-256 hash of all records in hex."""
        sha = sha256()
        for record in self.records:
            sha.update(record.encode() + b"\n")
        return sha.hexdigest()

    @classmethod
    def read(cls, lines: Iterable[bytes | str]) -> Self:
        """Parse lines of JSON, skipping empty lines."""
        return cls(Record.decode(line) for line in lines if line.strip())

    def lines(self) -> Iterator[bytes]:
        """Yield the records as lines of JSON."""
        for record in self.records:
            yield record.encode()
