"""A small TCP endpoint that runs on any clock and any packet sender.

It has what the lab needs to distinguish an intact flow from a broken one: handshake,
in-order byte stream with retransmission and reassembly, FIN in both directions, and RST
with the acceptance rules of RFC 9293 and RFC 5961. It has no flow control and no
options.
"""

from collections.abc import Callable
from enum import Enum, auto
from random import Random

from magnoliaslip.core.clock import Clock
from magnoliaslip.packet.flow_key import ACK, FIN, PSH, RST, SYN, FlowKey, reverse_key
from magnoliaslip.packet.segment import SEQUENCE_MODULUS, Segment

MAX_PAYLOAD_BYTES = 1200
INITIAL_RTO_S = 0.2
MAX_RTO_S = 3.0
MAX_RETRANSMISSIONS = 10  # the last one after 21 s, the failure after 24 s
MAX_IN_FLIGHT_SEGMENTS = 16
INITIAL_IN_FLIGHT_SEGMENTS = 4
RECEIVE_WINDOW_BYTES = 65_536
DUPLICATE_ACK_THRESHOLD = 3  # triggers a retransmission before the time-out
TIME_WAIT_S = 1.0  # time in which the side that closed first answers late segments


class TcpState(Enum):
    """State of an endpoint; CLOSED, which includes TIME-WAIT, and FAILED are final."""

    SYN_SENT = auto()
    SYN_RECEIVED = auto()
    ESTABLISHED = auto()
    CLOSED = auto()
    FAILED = auto()


class TcpFailure(Enum):
    """Why an endpoint failed; ABORTED means that its own side aborted it."""

    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"
    ABORTED = "aborted"


class TcpEndpoint:
    """One end of a TCP flow.

    Args:
        key: Flow key of the packets that this side sends.
        clock: Source of time.
        rng: Source of initial sequence numbers.
        send: Receives each outgoing IP packet.
        peer_syn: The SYN that this side accepts; None if this side connects.

    Attributes:
        state: State of the endpoint.
        failure: Why the endpoint failed, or None.
        eof: Whether the peer has closed and all its data has been received.
        next_deadline: When `poll` must be called next, monotonic seconds, or None.
    """

    __slots__ = (
        "_clock",
        "_closed_first",
        "_closing",
        "_duplicate_acks",
        "_fin_position",
        "_irs",
        "_iss",
        "_out_of_order",
        "_peer_fin_position",
        "_rcv_nxt",
        "_receive_buffer",
        "_retransmissions",
        "_rto_s",
        "_send",
        "_send_buffer",
        "_snd_max",
        "_snd_nxt",
        "_snd_una",
        "_window_segments",
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
        peer_syn: Segment | None = None,
    ) -> None:
        self.key = key
        self.failure: TcpFailure | None = None
        self.eof = False
        self.next_deadline: float | None = None
        self._clock = clock
        self._send = send
        # Positions are relative to the initial sequence number of their side: the SYN
        # is at 0 and the first byte at 1. The names follow RFC 9293 (SND.UNA, SND.NXT,
        # RCV.NXT); `_snd_max` is the highest SND.NXT so far.
        self._iss = rng.randrange(SEQUENCE_MODULUS)
        self._irs = 0
        self._snd_una = 0
        self._snd_nxt = 1
        self._snd_max = 1
        self._send_buffer = bytearray()
        self._fin_position = 1
        self._closing = False
        self._closed_first = False
        self._rcv_nxt = 0
        self._out_of_order: dict[int, bytes] = {}
        self._receive_buffer = bytearray()
        self._peer_fin_position: int | None = None
        self._retransmissions = 0
        self._rto_s = INITIAL_RTO_S
        self._window_segments = INITIAL_IN_FLIGHT_SEGMENTS
        self._duplicate_acks = 0
        if peer_syn is None:
            self.state = TcpState.SYN_SENT
            self._emit(SYN, 0)
        else:
            self.state = TcpState.SYN_RECEIVED
            self._irs = peer_syn.seq
            self._rcv_nxt = 1
            self._emit(SYN | ACK, 0)
        self._restart_timer()

    @classmethod
    def accept(
        cls,
        peer_syn: Segment,
        *,
        clock: Clock,
        rng: Random,
        send: Callable[[bytes], None],
    ) -> "TcpEndpoint":
        """Answer a SYN with a SYN-ACK and return the endpoint of the new flow."""
        key = reverse_key(peer_syn.key)
        return cls(key, clock=clock, rng=rng, send=send, peer_syn=peer_syn)

    @property
    def is_finished(self) -> bool:
        """Whether the endpoint needs no more segments and can be discarded."""
        return self.state is TcpState.FAILED or (
            self.state is TcpState.CLOSED and self.next_deadline is None
        )

    @property
    def is_closing(self) -> bool:
        """Whether this side has closed or the endpoint has failed."""
        return self._closing or self.state is TcpState.FAILED

    def write(self, data: bytes) -> None:
        """Queue bytes and send as many as the window allows.

        Raises:
            ValueError: This side has closed the endpoint.
        """
        if self._closing:
            raise ValueError("the endpoint is closed for writing")
        self._send_buffer += data
        self._fin_position += len(data)
        self._flush()

    def read(self) -> bytes:
        """Return and remove all bytes received in order."""
        data = bytes(self._receive_buffer)
        self._receive_buffer.clear()
        return data

    def close(self) -> None:
        """Send FIN after the queued bytes."""
        if self._closing or self.state in (TcpState.CLOSED, TcpState.FAILED):
            return
        self._closing = True
        self._closed_first = not self.eof
        self._flush()

    def abort(self) -> None:
        """Send RST and fail with `TcpFailure.ABORTED`."""
        if self.state in (TcpState.CLOSED, TcpState.FAILED):
            return
        flags = RST if self.state is TcpState.SYN_SENT else RST | ACK
        self._emit(flags, self._snd_max)
        self._fail(TcpFailure.ABORTED)

    def on_segment(self, segment: Segment) -> None:
        """Handle a segment whose key is the reverse of this side's."""
        if self.state is TcpState.FAILED:
            return
        if self.state is TcpState.CLOSED:
            if segment.sequence_length and not segment.flags & RST:
                self._send_ack()
        elif self.state is TcpState.SYN_SENT:
            self._on_segment_in_syn_sent(segment)
        elif segment.flags & RST:
            self._on_reset(segment)
        elif segment.flags & SYN:
            self._on_repeated_syn(segment)
        elif segment.flags & ACK:
            self._on_ack_segment(segment)

    def poll(self, now: float) -> None:
        """Retransmit, time out or leave TIME-WAIT if the deadline has passed."""
        if self.next_deadline is None or now < self.next_deadline:
            return
        if self.state is TcpState.CLOSED:
            self.next_deadline = None
            return
        if self._retransmissions >= MAX_RETRANSMISSIONS:
            self._fail(TcpFailure.TIMEOUT)
            return
        self._retransmissions += 1
        self._rto_s = min(self._rto_s * 2, MAX_RTO_S)
        if self.state is TcpState.SYN_SENT:
            self._emit(SYN, 0)
        elif self.state is TcpState.SYN_RECEIVED:
            self._emit(SYN | ACK, 0)
        else:
            self._snd_nxt = self._snd_una
            self._window_segments = 1
            self._flush()
        self._restart_timer()

    def _on_segment_in_syn_sent(self, segment: Segment) -> None:
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
            self._rcv_nxt = 1
            self._establish()
            self._send_ack()
            self._flush()

    def _establish(self) -> None:
        self.state = TcpState.ESTABLISHED
        self._snd_una = 1
        self._retransmissions = 0
        self._rto_s = INITIAL_RTO_S
        self.next_deadline = None

    def _on_reset(self, segment: Segment) -> None:
        offset = self._position(segment.seq, self._irs, self._rcv_nxt) - self._rcv_nxt
        if offset == 0:
            self._fail(TcpFailure.RESET)
        elif 0 < offset < RECEIVE_WINDOW_BYTES:
            self._send_ack()  # challenge ACK, RFC 5961 section 3.2

    def _on_repeated_syn(self, segment: Segment) -> None:
        if self.state is TcpState.SYN_RECEIVED and not segment.flags & ACK:
            if segment.seq == self._irs:
                self._emit(SYN | ACK, 0)
            return
        self._send_ack()  # challenge ACK, RFC 5961 section 4.2

    def _on_ack_segment(self, segment: Segment) -> None:
        ack = self._position(segment.ack, self._iss, self._snd_una)
        if self.state is TcpState.SYN_RECEIVED:
            if ack != 1:
                self._send(segment.reset_reply().encode())
                return
            self._establish()
        if ack > self._snd_max:
            self._send_ack()
            return
        self._apply_ack(ack, segment)
        snd_max_before = self._snd_max
        self._on_payload(segment)
        self._flush()
        if segment.sequence_length and self._snd_max == snd_max_before:
            self._send_ack()
        self._close_after_both_fins()

    def _apply_ack(self, ack: int, segment: Segment) -> None:
        if ack > self._snd_una:
            start = self._snd_una
            del self._send_buffer[: min(ack, self._fin_position) - start]
            self._snd_una = ack
            self._snd_nxt = max(self._snd_nxt, ack)
            self._retransmissions = 0
            self._rto_s = INITIAL_RTO_S
            self._duplicate_acks = 0
            self._window_segments = min(
                self._window_segments * 2, MAX_IN_FLIGHT_SEGMENTS
            )
            self._restart_timer()
        elif (
            ack == self._snd_una < self._snd_max
            and not segment.sequence_length
            and self._retransmissions == 0
        ):
            self._duplicate_acks += 1
            if self._duplicate_acks == DUPLICATE_ACK_THRESHOLD:
                self._send_segment_at(self._snd_una)

    def _on_payload(self, segment: Segment) -> None:
        start = self._position(segment.seq, self._irs, self._rcv_nxt)
        end = start + len(segment.payload)
        if start >= self._rcv_nxt + RECEIVE_WINDOW_BYTES:
            return
        if segment.flags & FIN and end >= self._rcv_nxt:
            self._peer_fin_position = end
        if segment.payload and end > self._rcv_nxt:
            stored = self._out_of_order.get(start, b"")
            if len(segment.payload) > len(stored):
                self._out_of_order[start] = segment.payload
            self._deliver_contiguous()
        if self._peer_fin_position == self._rcv_nxt and not self.eof:
            self._rcv_nxt += 1
            self.eof = True

    def _deliver_contiguous(self) -> None:
        for start in sorted(self._out_of_order):
            if start > self._rcv_nxt:
                return
            payload = self._out_of_order.pop(start)
            new_bytes = payload[self._rcv_nxt - start :]
            self._receive_buffer += new_bytes
            self._rcv_nxt += len(new_bytes)

    def _flush(self) -> None:
        if self.state is not TcpState.ESTABLISHED:
            return
        limit = self._snd_una + self._window_segments * MAX_PAYLOAD_BYTES
        while self._snd_nxt < min(limit, self._fin_position) or (
            self._closing and self._snd_nxt == self._fin_position
        ):
            self._snd_nxt = self._send_segment_at(self._snd_nxt)
            self._snd_max = max(self._snd_max, self._snd_nxt)
        if self._snd_una < self._snd_max and self.next_deadline is None:
            self._restart_timer()

    def _send_segment_at(self, position: int) -> int:
        """Send one segment and return the position after it."""
        offset = position - self._snd_una
        payload = bytes(self._send_buffer[offset : offset + MAX_PAYLOAD_BYTES])
        end = position + len(payload)
        flags = ACK | PSH if payload else ACK
        if self._closing and end == self._fin_position:
            flags |= FIN
            end += 1
        self._emit(flags, position, payload)
        return end

    def _close_after_both_fins(self) -> None:
        if self.eof and self._closing and self._snd_una > self._fin_position:
            self.state = TcpState.CLOSED
            time_wait_s = TIME_WAIT_S if self._closed_first else None
            self.next_deadline = (
                None if time_wait_s is None else self._clock.monotonic() + time_wait_s
            )

    def _fail(self, failure: TcpFailure) -> None:
        self.state = TcpState.FAILED
        self.failure = failure
        self.next_deadline = None

    def _restart_timer(self) -> None:
        waiting = self._snd_una < self._snd_max
        self.next_deadline = self._clock.monotonic() + self._rto_s if waiting else None

    def _send_ack(self) -> None:
        self._emit(ACK, self._snd_max)

    def _emit(self, flags: int, position: int, payload: bytes = b"") -> None:
        seq = (self._iss + position) % SEQUENCE_MODULUS
        ack = (self._irs + self._rcv_nxt) % SEQUENCE_MODULUS if flags & ACK else 0
        self._send(Segment(self.key, flags, seq, ack, payload).encode())

    @staticmethod
    def _position(sequence_number: int, initial: int, reference: int) -> int:
        """Return the position closest to ``reference`` that has a sequence number."""
        half = SEQUENCE_MODULUS // 2
        return (
            reference
            + (sequence_number - initial - reference + half) % SEQUENCE_MODULUS
            - half
        )
