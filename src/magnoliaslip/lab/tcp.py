"""A small TCP endpoint that runs on any clock and any packet sender.

It has what the stand-ins need to tell a kept flow from a broken one: handshake,
in-order byte stream with retransmission, reordering, FIN both ways and RST with the
acceptance rules of RFC 9293 and RFC 5961. It has no flow control and no options.
"""

from collections.abc import Callable
from enum import Enum, auto
from random import Random

from magnoliaslip.core.clock import Clock
from magnoliaslip.packet.flow_key import ACK, FIN, PSH, RST, SYN, FlowKey, reverse_key
from magnoliaslip.packet.segment import SEQUENCE_MODULUS, Segment

MAX_PAYLOAD_BYTES = 1200
INITIAL_TIMEOUT_S = 0.2
MAX_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 10  # about 21 s with the timeouts above
MAX_IN_FLIGHT = 16  # segments
INITIAL_IN_FLIGHT = 4  # segments
RECEIVE_WINDOW_BYTES = 65_536
DUPLICATE_ACKS = 3  # that trigger a retransmission before the timeout
LINGER_S = 1.0  # how long the side that closed first answers late segments


class TcpState(Enum):
    """Where an endpoint is in its life."""

    OPENING = auto()
    ACCEPTING = auto()
    OPEN = auto()
    CLOSED = auto()
    FAILED = auto()


class TcpFailure(Enum):
    """Why an endpoint failed."""

    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"
    ABORTED = "aborted"


class TcpEndpoint:
    """One end of a TCP flow.

    Args:
        key: Flow key of the packets that this end sends.
        clock: Source of time.
        rng: Source of initial sequence numbers.
        send: Receives each outgoing IP packet.
        peer_open: The SYN that this end accepts; None when this end connects.

    Attributes:
        failure: Why the endpoint failed, or None.
        eof: Whether the other end has closed and everything it sent was received.
        next_deadline: When `poll` has work, monotonic seconds, or None.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_closed_first",
        "_closing",
        "_duplicate_acks",
        "_early",
        "_end",
        "_highest",
        "_in",
        "_in_flight",
        "_irs",
        "_iss",
        "_next",
        "_out",
        "_peer_end",
        "_received",
        "_send",
        "_timeout",
        "_unacked",
        "eof",
        "failure",
        "key",
        "next_deadline",
        "state",
    )

    def __init__(
        self,
        key: FlowKey,
        *,
        clock: Clock,
        rng: Random,
        send: Callable[[bytes], None],
        peer_open: Segment | None = None,
    ) -> None:
        self.key = key
        self.failure: TcpFailure | None = None
        self.eof = False
        self.next_deadline: float | None = None
        self._clock = clock
        self._send = send
        # All positions count from the initial sequence number of their side: the
        # SYN is 0 and the first byte is 1.
        self._iss = rng.randrange(SEQUENCE_MODULUS)
        self._irs = 0
        self._unacked = 0
        self._next = 1
        self._highest = 1
        self._out = bytearray()
        self._end = 1
        self._closing = False
        self._closed_first = False
        self._received = 0
        self._early: dict[int, bytes] = {}
        self._in = bytearray()
        self._peer_end: int | None = None
        self._attempts = 0
        self._timeout = INITIAL_TIMEOUT_S
        self._in_flight = INITIAL_IN_FLIGHT
        self._duplicate_acks = 0
        if peer_open is None:
            self.state = TcpState.OPENING
            self._emit(SYN, 0)
        else:
            self.state = TcpState.ACCEPTING
            self._irs = peer_open.seq
            self._received = 1
            self._emit(SYN | ACK, 0)
        self._restart_timer()

    @classmethod
    def accept(
        cls,
        peer_open: Segment,
        *,
        clock: Clock,
        rng: Random,
        send: Callable[[bytes], None],
    ) -> "TcpEndpoint":
        """Answer a SYN and return the endpoint of the new flow."""
        key = reverse_key(peer_open.key)
        return cls(key, clock=clock, rng=rng, send=send, peer_open=peer_open)

    @property
    def is_finished(self) -> bool:
        """Whether the endpoint needs no more segments and can be forgotten."""
        return self.state is TcpState.FAILED or (
            self.state is TcpState.CLOSED and self.next_deadline is None
        )

    @property
    def is_closing(self) -> bool:
        """Whether this side has closed or the endpoint has failed."""
        return self._closing or self.state is TcpState.FAILED

    def write(self, data: bytes) -> None:
        """Queue bytes; they are sent at once as far as the window allows.

        Raises:
            ValueError: The endpoint was closed by this side.
        """
        if self._closing:
            raise ValueError("the endpoint is closed for writing")
        self._out += data
        self._end += len(data)
        self._flush()

    def read(self) -> bytes:
        """Return and remove all bytes received in order."""
        data = bytes(self._in)
        self._in.clear()
        return data

    def close(self) -> None:
        """Send FIN behind the bytes that are queued."""
        if self._closing or self.state in (TcpState.CLOSED, TcpState.FAILED):
            return
        self._closing = True
        self._closed_first = not self.eof
        self._flush()

    def abort(self) -> None:
        """Send RST and forget the flow."""
        if self.state in (TcpState.CLOSED, TcpState.FAILED):
            return
        flags = RST if self.state is TcpState.OPENING else RST | ACK
        self._emit(flags, self._highest)
        self._fail(TcpFailure.ABORTED)

    def on_segment(self, segment: Segment) -> None:
        """Handle a segment whose key is the reverse of this end's."""
        if self.state is TcpState.FAILED:
            return
        if self.state is TcpState.CLOSED:
            if segment.sequence_length and not segment.flags & RST:
                self._acknowledge()
        elif self.state is TcpState.OPENING:
            self._on_open_answer(segment)
        elif segment.flags & RST:
            self._on_reset(segment)
        elif segment.flags & SYN:
            self._on_repeated_open(segment)
        elif segment.flags & ACK:
            self._on_established(segment)

    def poll(self, now: float) -> None:
        """Retransmit, give up or stop lingering when the deadline has passed."""
        if self.next_deadline is None or now < self.next_deadline:
            return
        if self.state is TcpState.CLOSED:
            self.next_deadline = None
            return
        if self._attempts >= MAX_ATTEMPTS:
            self._fail(TcpFailure.TIMEOUT)
            return
        self._attempts += 1
        self._timeout = min(self._timeout * 2, MAX_TIMEOUT_S)
        if self.state is TcpState.OPENING:
            self._emit(SYN, 0)
        elif self.state is TcpState.ACCEPTING:
            self._emit(SYN | ACK, 0)
        else:
            self._next = self._unacked
            self._in_flight = 1
            self._flush()
        self._restart_timer()

    def _on_open_answer(self, segment: Segment) -> None:
        acknowledged = segment.ack == (self._iss + 1) % SEQUENCE_MODULUS
        if segment.flags & RST:
            # An RST without ACK cannot be matched to the SYN (RFC 9293, 3.10.7.3).
            if segment.flags & ACK and acknowledged:
                self._fail(TcpFailure.REFUSED)
            return
        if not segment.flags & ACK:
            return
        if not acknowledged:
            self._send(segment.reset_reply().encode())
            return
        if segment.flags & SYN:
            self._irs = segment.seq
            self._received = 1
            self._open()
            self._acknowledge()
            self._flush()

    def _open(self) -> None:
        self.state = TcpState.OPEN
        self._unacked = 1
        self._attempts = 0
        self._timeout = INITIAL_TIMEOUT_S
        self.next_deadline = None

    def _on_reset(self, segment: Segment) -> None:
        ahead = self._position(segment.seq, self._irs, self._received) - self._received
        if ahead == 0:
            self._fail(TcpFailure.RESET)
        elif 0 < ahead < RECEIVE_WINDOW_BYTES:
            self._acknowledge()  # challenge ACK, RFC 5961 section 3.2

    def _on_repeated_open(self, segment: Segment) -> None:
        if self.state is TcpState.ACCEPTING and not segment.flags & ACK:
            if segment.seq == self._irs:
                self._emit(SYN | ACK, 0)
            return
        self._acknowledge()  # challenge ACK, RFC 5961 section 4.2

    def _on_established(self, segment: Segment) -> None:
        ack = self._position(segment.ack, self._iss, self._unacked)
        if self.state is TcpState.ACCEPTING:
            if ack != 1:
                self._send(segment.reset_reply().encode())
                return
            self._open()
        if ack > self._highest:
            self._acknowledge()
            return
        self._on_ack(ack, segment)
        before = self._highest
        self._on_payload(segment)
        self._flush()
        if segment.sequence_length and self._highest == before:
            self._acknowledge()
        self._finish_when_closed()

    def _on_ack(self, ack: int, segment: Segment) -> None:
        if ack > self._unacked:
            start = self._unacked
            del self._out[: min(ack, self._end) - start]
            self._unacked = ack
            self._next = max(self._next, ack)
            self._attempts = 0
            self._timeout = INITIAL_TIMEOUT_S
            self._duplicate_acks = 0
            self._in_flight = min(self._in_flight * 2, MAX_IN_FLIGHT)
            self._restart_timer()
        elif (
            ack == self._unacked < self._highest
            and not segment.sequence_length
            and self._attempts == 0
        ):
            self._duplicate_acks += 1
            if self._duplicate_acks == DUPLICATE_ACKS:
                self._send_from(self._unacked)

    def _on_payload(self, segment: Segment) -> None:
        start = self._position(segment.seq, self._irs, self._received)
        end = start + len(segment.payload)
        if start >= self._received + RECEIVE_WINDOW_BYTES:
            return
        if segment.flags & FIN and end >= self._received:
            self._peer_end = end
        if segment.payload and end > self._received:
            known = self._early.get(start, b"")
            if len(segment.payload) > len(known):
                self._early[start] = segment.payload
            self._take_early()
        if self._peer_end == self._received and not self.eof:
            self._received += 1
            self.eof = True

    def _take_early(self) -> None:
        for start in sorted(self._early):
            if start > self._received:
                return
            payload = self._early.pop(start)
            fresh = payload[self._received - start :]
            self._in += fresh
            self._received += len(fresh)

    def _flush(self) -> None:
        if self.state is not TcpState.OPEN:
            return
        limit = self._unacked + self._in_flight * MAX_PAYLOAD_BYTES
        while self._next < min(limit, self._end) or (
            self._closing and self._next == self._end
        ):
            self._next = self._send_from(self._next)
            self._highest = max(self._highest, self._next)
        if self._unacked < self._highest and self.next_deadline is None:
            self._restart_timer()

    def _send_from(self, position: int) -> int:
        """Send one segment and return the position behind it."""
        at = position - self._unacked
        payload = bytes(self._out[at : at + MAX_PAYLOAD_BYTES])
        end = position + len(payload)
        flags = ACK | PSH if payload else ACK
        if self._closing and end == self._end:
            flags |= FIN
            end += 1
        self._emit(flags, position, payload)
        return end

    def _finish_when_closed(self) -> None:
        if self.eof and self._closing and self._unacked > self._end:
            self.state = TcpState.CLOSED
            linger = LINGER_S if self._closed_first else None
            self.next_deadline = (
                None if linger is None else self._clock.monotonic() + linger
            )

    def _fail(self, failure: TcpFailure) -> None:
        self.state = TcpState.FAILED
        self.failure = failure
        self.next_deadline = None

    def _restart_timer(self) -> None:
        waiting = self._unacked < self._highest
        self.next_deadline = (
            self._clock.monotonic() + self._timeout if waiting else None
        )

    def _acknowledge(self) -> None:
        self._emit(ACK, self._highest)

    def _emit(self, flags: int, position: int, payload: bytes = b"") -> None:
        seq = (self._iss + position) % SEQUENCE_MODULUS
        ack = (self._irs + self._received) % SEQUENCE_MODULUS if flags & ACK else 0
        self._send(Segment(self.key, flags, seq, ack, payload).encode())

    @staticmethod
    def _position(number: int, initial: int, near: int) -> int:
        """Return the position of a sequence number that is closest to ``near``."""
        half = SEQUENCE_MODULUS // 2
        return near + (number - initial - near + half) % SEQUENCE_MODULUS - half
