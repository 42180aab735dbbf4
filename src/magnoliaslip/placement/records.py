"""Flow records, which map a flow to its backend server."""

from collections.abc import Iterator
from struct import Struct
from typing import NamedTuple

ROWS = 16_384
ROW_MASK = ROWS - 1
_KEY_BYTES = 12
# Key, service index, server number, flags, opening time in quarter seconds, SYN-ACK
# sequence number.
_ENTRY = Struct("=12sHHBII")
_VALUE = Struct("=HHBII")
ENTRY_BYTES = _ENTRY.size
QUARTERS_PER_SECOND = 4


class FlowFlag:
    """Bits for the state of a recorded flow.

    Plain integers, because each operation of ``IntFlag`` takes a microsecond and a
    packet needs several.
    """

    EXCEPTION = 1  # some members would send it to another server by default
    ESTABLISHED = 2  # a SYN-ACK or a mid-flow packet has passed
    # The server may be wrong: it is the base default for a mid-flow packet that had no
    # record, or was chosen for a SYN that was held when the view became suspect.
    ASSUMED = 4
    FIN_CALLER = 8
    FIN_SERVER = 16
    CLOSED = 32  # reset, or closed on both sides; kept for late packets
    PAYLOAD = 64  # payload of the caller has been forwarded


class FlowRecord(NamedTuple):
    """A recorded flow.

    Attributes:
        service: Index of its service at this instance.
        server: Number of its server in that service.
        flags: Bits of `FlowFlag`.
        opened_quarters: Monotonic time in quarter seconds of its placement, or of the
            first record if it was not placed here.
        isn: Initial sequence number from its SYN-ACK; 0 if none has passed.
    """

    service: int
    server: int
    flags: int
    opened_quarters: int
    isn: int = 0


class FlowRecords:
    """A hash table of flow records in packed rows.

    A dict of bytes to objects takes over 150 bytes per flow, and under churn a dict
    reserves up to six slots per entry. Rows of packed entries take about 30 bytes per
    flow and are never rehashed. A row holds the flows of four buckets of every
    service.

    Args:
        limit: Number of records above which `eviction_candidate` returns a flow; the
            caller removes it.

    Attributes:
        count: Number of records.
        evicted: Number of records that were evicted above the limit.

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
        """Return the record of a flow, or None."""
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
        """Remove and return the record of a flow, or return None."""
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
        """Return the flows of a row; the row of a bucket is ``bucket & ROW_MASK``."""
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
        """Return the flow to evict, or None while within the limit.

        The rows are visited in turn. Within a row, closed flows are evicted first,
        then the oldest flow on its default server. Exceptions are evicted only if the
        row contains nothing else.
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
        return 0, record.opened_quarters
    return 1 + (record.flags & FlowFlag.EXCEPTION), record.opened_quarters
