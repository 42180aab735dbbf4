"""Application protocol between simulated callers and backend servers.

A message is encoded as msgpack and prefixed with its length, 32 bits in network byte
order. The protocol represents the application protocols of the deployments; the load
balancer never reads it.
"""

from enum import StrEnum
from struct import Struct as StructFormat

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

LENGTH_PREFIX = StructFormat("!I")
MAX_MESSAGE_BYTES = 4 << 20


class RequestKind(StrEnum):
    """Kind of operation that a request contains."""

    ORDER = "order"
    REPORT = "report"
    UPLOAD = "upload"
    FEED = "feed"
    STATUS = "status"


class Request(Struct, tag="request", frozen=True):
    """One request.

    Attributes:
        id: Unique across all callers; a retry keeps it, so that a request that ran
            twice can be detected.
        kind: Requested operation.
        idempotent: Whether it may run twice.
        timeout_ms: Time left when it was sent. A duration, because caller and server
            share no clock; the server converts it to a deadline on arrival.
        payload: Body, for example a photo.
        answer_bytes: Required size of the answer's body.
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
        """Checksum of the identifier and the payload."""
        return xxh3_64_intdigest(self.id.encode() + b"\0" + self.payload)


class Cancel(Struct, tag="cancel", frozen=True):
    """Cancels a request.

    A feed that pushes is answered immediately, and another kind of request that waits
    for a slot is shed. In any other case, the server answers after the processing.
    """

    id: str


class Answer(Struct, tag="answer", frozen=True):
    """Final message for a request.

    Attributes:
        id: Identifier of the request.
        service: Name of the service that answers.
        server: Name of the backend server that answers.
        complete: Whether the request ran to completion.
        checksum: `Request.checksum` as the server computed it.
        shed: Whether the request was refused without being run.
        pushes: Number of pushes sent for a feed.
        body: Content of the answer.
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
    """The byte stream contains an invalid message."""


def encode_message(msg: Message) -> bytes:
    """Encode a message with its length prefix."""
    body = _encoder.encode(msg)
    return LENGTH_PREFIX.pack(len(body)) + body


class MessageReader:
    """Splits a byte stream into messages.

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
            ProtocolError: A length exceeds the limit or a message is malformed.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_MESSAGE_BYTES:
                raise ProtocolError(f"message of {length} bytes exceeds the limit")
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
