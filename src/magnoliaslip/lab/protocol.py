"""Requests and answers inside a flow.

A message is msgpack behind a 32-bit length in network byte order. The protocol
stands for the application protocols of the deployments; the load balancer never
reads it.
"""

from enum import StrEnum
from struct import Struct as StructFormat

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

LENGTH_PREFIX = StructFormat("!I")
MAX_MESSAGE_BYTES = 4 << 20


class RequestKind(StrEnum):
    """What a request asks for."""

    ORDER = "order"
    REPORT = "report"
    UPLOAD = "upload"
    FEED = "feed"
    STATUS = "status"


class Request(Struct, tag="request", frozen=True):
    """One request.

    Attributes:
        id: Unique over all callers; a retry keeps it, so that a request that ran twice
            shows as such.
        kind: What is asked for.
        idempotent: Whether it may run twice.
        timeout_ms: Time left when it was sent. A duration, because caller and server
            share no clock; the server turns it into a deadline on arrival.
        payload: Body, for example a photo.
        answer_bytes: Size of the body that the answer must have.
        interval_ms: Time between two pushes of a feed.
    """

    id: str
    kind: RequestKind
    idempotent: bool
    timeout_ms: int
    payload: bytes = b""
    answer_bytes: int = 0
    interval_ms: int = 0

    @property
    def checksum(self) -> int:
        """A checksum of the identifier and the payload."""
        return xxh3_64_intdigest(self.id.encode() + b"\0" + self.payload)


class Cancel(Struct, tag="cancel", frozen=True):
    """Ends a request early; a feed is then answered at once."""

    id: str


class Answer(Struct, tag="answer", frozen=True):
    """The last message for a request.

    Attributes:
        id: Identifier of the request.
        service: Service that answers.
        server: Backend server that answers.
        complete: Whether the request ran to its end.
        checksum: `Request.checksum` as the server computed it.
        shed: Whether the request was refused and did not run.
        pushes: Number of pushes that a feed got.
        body: Content.
    """

    id: str
    service: str
    server: str
    complete: bool
    checksum: int
    shed: bool = False
    pushes: int = 0
    body: bytes = b""


class Push(Struct, tag="push", frozen=True):
    """One message of a feed; numbers start at 1 and have no gaps."""

    id: str
    service: str
    server: str
    number: int


Message = Request | Cancel | Answer | Push

_encoder = Encoder()
_decoder: Decoder[Message] = Decoder(Message)


class ProtocolError(ValueError):
    """The byte stream holds no valid message."""


def encode_message(msg: Message) -> bytes:
    """Return the message with its length in front."""
    body = _encoder.encode(msg)
    return LENGTH_PREFIX.pack(len(body)) + body


class MessageReader:
    """Cuts messages out of a byte stream.

    >>> reader = MessageReader()
    >>> data = encode_message(Cancel("r1"))
    >>> reader.feed(data[:3]), reader.feed(data[3:])
    ([], [Cancel(id='r1')])
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the messages that they complete.

        Raises:
            ProtocolError: A length is over the limit or a message is malformed.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_MESSAGE_BYTES:
                raise ProtocolError(f"message of {length} bytes is over the limit")
            end = LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            try:
                messages.append(_decoder.decode(body))
            except DecodeError as exc:
                raise ProtocolError(f"malformed message: {exc}") from exc
        return messages
