"""Sequenced logs that replicate dirty buckets and exceptions between instances."""

from collections import deque
from collections.abc import Callable, Sequence
from itertools import chain, islice

from magnoliaslip.peering.proto.peer_pb2 import (
    BucketOp,
    ExceptionOp,
    LogAck,
    LogEntries,
    PeerMessage,
)

# Limits a message to about 6 KB, so that the loss of one costs little.
MAX_BATCH_OPERATIONS = 200
MAX_MESSAGES_IN_FLIGHT = 4
INITIAL_RESEND_DELAY_S = 0.3
MAX_RESEND_DELAY_S = 2.0
# Limit for a peer that does not acknowledge; above it the log is restarted.
MAX_BACKLOG_OPERATIONS = 20_000
# With messages in flight, an urgent flush sooner than this after the last message
# waits for the next acknowledgement or tick, so that batches fill up.
MIN_SEND_INTERVAL_S = 0.02


class LogOp:
    """One operation in the log for one peer.

    Attributes:
        service: Name of the service.
        bucket: Bucket of a bucket operation, else -1.
        dirty: Whether the bucket has exceptions now.
        key: Flow key of an exception operation.
        server: Server of the exception; empty to remove the exception.
        removed: Whether to remove the exception if it names this server.
        sequence: Sequence number in the log; 0 until it is sent.
    """

    __slots__ = (
        "bucket",
        "dirty",
        "key",
        "removed",
        "sequence",
        "server",
        "service",
    )

    def __init__(
        self,
        service: str,
        *,
        bucket: int = -1,
        dirty: bool = False,
        key: bytes = b"",
        server: str = "",
        removed: bool = False,
    ) -> None:
        self.service = service
        self.bucket = bucket
        self.dirty = dirty
        self.key = key
        self.server = server
        self.removed = removed
        self.sequence = 0


def encode_ops(
    ops: Sequence[LogOp], *, first_sequence: int = 0, reset: bool = False
) -> LogEntries:
    """Build a message body; bucket operations must come first in the sequence."""
    entries = LogEntries(first_sequence=first_sequence, reset=reset)
    indexes: dict[str, int] = {}
    for op in ops:
        index = indexes.setdefault(op.service, len(indexes))
        if op.bucket >= 0:
            entries.buckets.append(
                BucketOp(service_index=index, bucket=op.bucket, dirty=op.dirty)
            )
        else:
            entries.exceptions.append(
                ExceptionOp(
                    service_index=index,
                    key=op.key,
                    server=op.server,
                    removed=op.removed,
                )
            )
    entries.services.extend(indexes)
    return entries


class PeerLog:
    """The log of this instance for one peer; sent in order until acknowledged.

    Args:
        peer: The peer that receives the log.
        incarnation: Incarnation of that peer.
        send: Sends a message to a peer.
        first_sequence: First sequence number. It must be above every number that this
            process has used for the peer, so that the peer does not mistake the
            start of this log for a retransmission.

    Attributes:
        acked_sequence: Last sequence number that the peer has acknowledged; -1 before
            the first acknowledgement.
    """

    __slots__ = (
        "_buckets",
        "_exceptions",
        "_in_flight",
        "_last_sent_at",
        "_next_sequence",
        "_overflowed",
        "_resend_at",
        "_resend_delay",
        "_reset",
        "_send",
        "acked_sequence",
        "incarnation",
        "peer",
    )

    def __init__(
        self,
        peer: str,
        incarnation: int,
        send: Callable[[str, PeerMessage], None],
        *,
        first_sequence: int = 1,
    ) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self.acked_sequence = -1
        self._send = send
        self._next_sequence = first_sequence
        self._buckets: deque[LogOp] = deque()
        self._exceptions: deque[LogOp] = deque()
        self._in_flight: deque[tuple[int, LogEntries, list[LogOp]]] = deque()
        self._reset = True
        self._overflowed = False
        self._last_sent_at = 0.0
        self._resend_at = 0.0
        self._resend_delay = INITIAL_RESEND_DELAY_S

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last operation, including unsent ones."""
        return self._next_sequence - 1 + len(self._buckets) + len(self._exceptions)

    @property
    def backlog(self) -> int:
        """Number of operations that are not acknowledged."""
        return self.last_sequence - max(0, self.acked_sequence)

    @property
    def overflowed(self) -> bool:
        """Whether operations were discarded, so that `restart` is required."""
        return self._overflowed

    def add_bucket(self, service: str, bucket: int, dirty: bool) -> LogOp:
        """Append a bucket operation."""
        op = LogOp(service, bucket=bucket, dirty=dirty)
        self._append(self._buckets, op)
        return op

    def add_exception(
        self, service: str, key: bytes, server: str, *, removed: bool = False
    ) -> LogOp:
        """Append an exception operation; an empty server removes the exception.

        Args:
            service: Name of the service.
            key: Flow key.
            server: Name of the server.
            removed: Remove the exception if it names this server.
        """
        op = LogOp(service, key=key, server=server, removed=removed)
        self._append(self._exceptions, op)
        return op

    def is_acked(self, op: LogOp) -> bool:
        """Check whether the peer has applied an operation."""
        return 0 < op.sequence <= self.acked_sequence

    def has_unacked_exception(self, key: bytes) -> bool:
        """Check whether an added exception of a flow is not acknowledged yet."""
        sent = (op for *_, ops in self._in_flight for op in ops)
        return any(
            op.key == key and op.server and not op.removed
            for op in chain(sent, self._exceptions)
        )

    def restart(self, incarnation: int) -> None:
        """Restart the log; its next message makes the peer discard the former state.

        Sequence numbers continue to rise, so that the peer recognizes older messages
        that arrive late. Unacknowledged exception operations are sent again to the
        same incarnation, because the operations that the caller adds after a restart
        do not include removals.
        """
        resent_ops: list[LogOp] = []
        # The incarnation is 0 for a peer that only other members have reported.
        same_peer = self.incarnation in (0, incarnation)
        if not self._overflowed and same_peer:
            sent = [op for *_, ops in self._in_flight for op in ops if op.key]
            resent_ops = [*sent, *self._exceptions]
        self._next_sequence = max(self._next_sequence, self.last_sequence + 1)
        self._buckets.clear()
        self._exceptions.clear()
        self._in_flight.clear()
        for op in resent_ops:
            op.sequence = 0
        self._exceptions.extend(resent_ops)
        self.incarnation = incarnation
        self.acked_sequence = -1
        self._reset = True
        self._overflowed = False
        self._resend_delay = INITIAL_RESEND_DELAY_S

    def flush(self, now: float, *, urgent: bool = False) -> None:
        """Send waiting operations, up to the limit of messages in flight.

        Args:
            now: Monotonic time in seconds.
            urgent: Whether a SYN waits for the acknowledgement.
        """
        if (
            self._in_flight
            and urgent
            and now - self._last_sent_at < MIN_SEND_INTERVAL_S
        ):
            return
        while len(self._in_flight) < MAX_MESSAGES_IN_FLIGHT:
            if not (self._buckets or self._exceptions or self._reset):
                return
            self._send_batch(now)

    def on_ack(self, applied: int, now: float) -> bool:
        """Record an acknowledgement; return whether it covers new operations."""
        if applied <= self.acked_sequence or applied >= self._next_sequence:
            return False
        self.acked_sequence = applied
        self._resend_delay = INITIAL_RESEND_DELAY_S
        while self._in_flight and self._in_flight[0][0] <= applied:
            self._in_flight.popleft()
        self._resend_at = now + INITIAL_RESEND_DELAY_S
        self.flush(now)
        return True

    def tick(self, now: float) -> None:
        """Send waiting operations, and resend those not acknowledged in time."""
        self.flush(now)
        if not self._in_flight or now < self._resend_at:
            return
        for _, entries, _ in self._in_flight:
            self._send(self.peer, PeerMessage(log=entries))
        self._resend_delay = min(MAX_RESEND_DELAY_S, self._resend_delay * 2)
        self._resend_at = now + self._resend_delay

    def _append(self, queue: deque[LogOp], op: LogOp) -> None:
        if self.backlog >= MAX_BACKLOG_OPERATIONS:
            # The reported sequence number still rises, so the peer's certificate
            # ends even though the operation is discarded.
            self._overflowed = True
            self._next_sequence += 1
            return
        queue.append(op)

    def _send_batch(self, now: float) -> None:
        ops = _pop_operations(self._buckets, MAX_BATCH_OPERATIONS)
        ops += _pop_operations(self._exceptions, MAX_BATCH_OPERATIONS - len(ops))
        first = self._next_sequence
        for op in ops:
            op.sequence = self._next_sequence
            self._next_sequence += 1
        entries = encode_ops(ops, first_sequence=first, reset=self._reset)
        self._reset = False
        if not self._in_flight:
            self._resend_at = now + self._resend_delay
        self._in_flight.append((self._next_sequence - 1, entries, ops))
        self._last_sent_at = now
        self._send(self.peer, PeerMessage(log=entries))


class LogReceiver:
    """Position up to which the log of one peer has been applied.

    Attributes:
        incarnation: Incarnation of the peer.
        applied: Sequence number of the last operation applied; None until the start
            of the log has been received.
    """

    __slots__ = ("applied", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.applied: int | None = None

    def accept(self, entries: LogEntries) -> int | None:
        """Decide which operations of a message to apply, and advance `applied`.

        Returns:
            Number of operations at its start that have already been applied; None
            if the message must be ignored because earlier ones are missing.
        """
        first = entries.first_sequence
        last = first + len(entries.buckets) + len(entries.exceptions) - 1
        if entries.reset and (self.applied is None or first > self.applied):
            self.applied = last
            return 0
        if self.applied is None or first > self.applied + 1:
            return None
        already_applied = self.applied + 1 - first
        self.applied = max(self.applied, last)
        return already_applied


def ack_message(applied: int, incarnation: int) -> PeerMessage:
    """Build the acknowledgement of log operations.

    Args:
        applied: Sequence number of the last operation applied.
        incarnation: Incarnation of the peer that sent the log.
    """
    return PeerMessage(log_ack=LogAck(applied=applied, incarnation=incarnation))


def _pop_operations(queue: deque[LogOp], limit: int) -> list[LogOp]:
    ops = list(islice(queue, limit))
    for _ in ops:
        queue.popleft()
    return ops
