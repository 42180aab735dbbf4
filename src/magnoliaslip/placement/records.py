"""Flow records: which backend server a flow belongs to."""

from collections.abc import Iterator
from struct import Struct
from typing import NamedTuple

ROWS = 16_384
ROW_MASK = ROWS - 1
_KEY_BYTES = 12
# Key, service index, server number, flags, opened in quarter seconds, SYN-ACK
# sequence number.
_ENTRY = Struct("=12sHHBII")
_VALUE = Struct("=HHBII")
ENTRY_BYTES = _ENTRY.size
TICKS_PER_SECOND = 4


class FlowFlag:
    """Bits that tell what is known about a recorded flow.

    Plain integers: operations of ``IntFlag`` cost a microsecond each, several times
    a packet.
    """

    EXCEPTION = 1  # its server is not what every member would assume
    ESTABLISHED = 2  # its SYN-ACK passed, or a mid-flow packet was seen
    ASSUMED = 4  # recorded on the base default when a mid-flow packet came
    FIN_CALLER = 8
    FIN_SERVER = 16
    CLOSED = 32  # reset or closed on both sides; kept for late packets
    PAYLOAD = 64  # payload of the caller was handed over


class FlowRecord(NamedTuple):
    """A recorded flow.

    Attributes:
        service: Index of its service at this instance.
        server: Number of its server in that service.
        flags: Bits of `FlowFlag`.
        opened_ticks: Monotonic time in quarter seconds.
        isn: Sequence number of its SYN-ACK; 0 when none was seen.
    """

    service: int
    server: int
    flags: int
    opened_ticks: int
    isn: int = 0


class FlowRecords:
    """A hash table of flow records in packed rows.

    A dict of bytes to objects takes over 150 bytes a flow, and a dict that shrinks
    and grows under churn reserves up to six slots an entry. Rows of packed entries
    take about 30 bytes a flow and never rehash; a row holds the flows of four
    buckets of every service.

    Args:
        limit: Records held at most.

    >>> records = FlowRecords(limit=10)
    >>> records.put(bytes(12), 5, FlowRecord(0, 3, FlowFlag.EXCEPTION, 8))
    >>> records.get(bytes(12), 5).server
    3
    """

    __slots__ = ("_cursor", "_limit", "_rows", "count", "evicted")

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._rows: list[bytearray | None] = [None] * ROWS
        self._cursor = 0
        self.count = 0
        self.evicted = 0

    def get(self, key: bytes, key_hash: int) -> FlowRecord | None:
        """Return the record of a flow."""
        row = self._rows[key_hash & ROW_MASK]
        if row is None:
            return None
        position = _find(row, key)
        if position < 0:
            return None
        return FlowRecord._make(_VALUE.unpack_from(row, position + _KEY_BYTES))

    def put(self, key: bytes, key_hash: int, record: FlowRecord) -> None:
        """Add or replace the record of a flow."""
        index = key_hash & ROW_MASK
        row = self._rows[index]
        if row is None:
            row = self._rows[index] = bytearray()
        position = _find(row, key)
        if position >= 0:
            _VALUE.pack_into(row, position + _KEY_BYTES, *record)
            return
        row += _ENTRY.pack(key, *record)
        self.count += 1

    def remove(self, key: bytes, key_hash: int) -> FlowRecord | None:
        """Remove and return the record of a flow."""
        row = self._rows[key_hash & ROW_MASK]
        if row is None:
            return None
        position = _find(row, key)
        if position < 0:
            return None
        record = FlowRecord._make(_VALUE.unpack_from(row, position + _KEY_BYTES))
        self._delete_entry(row, position)
        return record

    def row(self, index: int) -> list[tuple[bytes, FlowRecord]]:
        """Return the flows of a row; a bucket's row is ``bucket & ROW_MASK``."""
        row = self._rows[index]
        if not row:
            return []
        return [
            (fields[0], FlowRecord._make(fields[1:]))
            for fields in _ENTRY.iter_unpack(row)
        ]

    def __iter__(self) -> Iterator[tuple[bytes, FlowRecord]]:
        for index in range(ROWS):
            yield from self.row(index)

    def eviction_candidate(self) -> tuple[bytes, FlowRecord] | None:
        """Return the flow that should make room; None while within the limit.

        Rows take turns. Within a row ended flows go first, then the oldest flow on
        its default server, and exceptions only when there is nothing else.
        """
        if self.count <= self._limit:
            return None
        while not self._rows[self._cursor]:
            self._cursor = (self._cursor + 1) & ROW_MASK
        flows = self.row(self._cursor)
        self._cursor = (self._cursor + 1) & ROW_MASK
        return min(flows, key=lambda flow: _eviction_order(flow[1]))

    def _delete_entry(self, row: bytearray, position: int) -> None:
        last = len(row) - ENTRY_BYTES
        if position != last:
            row[position : position + ENTRY_BYTES] = row[last:]
        del row[last:]
        self.count -= 1


def _find(row: bytearray, key: bytes) -> int:
    position = row.find(key)
    while position > 0 and position % ENTRY_BYTES:
        position = row.find(key, position + 1)
    return position


def _eviction_order(record: FlowRecord) -> tuple[int, int]:
    if record.flags & FlowFlag.CLOSED:
        return 0, record.opened_ticks
    return 1 + (record.flags & FlowFlag.EXCEPTION), record.opened_ticks
