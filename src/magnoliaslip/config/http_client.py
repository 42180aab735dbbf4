"""One HTTP/1.1 request on a connection of its own."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from anyio import BrokenResourceError, EndOfStream, connect_tcp
from anyio.abc import ByteStream
from h11 import (
    CLIENT,
    NEED_DATA,
    PAUSED,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    ProtocolError,
    Request,
    Response,
)

from magnoliaslip.config.decoding import MAX_VALUE_BYTES
from magnoliaslip.core.address import Address

RECEIVE_BYTES = 65536
# Larger values are cut off here; the check of tables refuses what is above the limit.
MAX_BODY_BYTES = MAX_VALUE_BYTES + 1

Connect = Callable[[str, int], Awaitable[ByteStream]]


@dataclass(slots=True)
class HttpAnswer:
    """An answer, its body cut off at `MAX_BODY_BYTES`.

    Attributes:
        status: HTTP status code; 0 when the connection ended before it.
        headers: Headers by name in lower case.
        body: The content.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytearray = field(default_factory=bytearray)


async def http_get(
    address: Address, target: str, *, connect: Connect = connect_tcp
) -> HttpAnswer:
    """Send a GET request and return the answer; bound it with a timeout.

    Args:
        address: Where to connect.
        target: Path and query.
        connect: Opens a byte stream to a host and port.

    Raises:
        OSError: The address can't be reached, or it reset the connection.
        ProtocolError: The answer is not HTTP/1.1.
    """
    conn = Connection(CLIENT)
    request = Request(
        method="GET",
        target=target,
        headers=[
            ("Host", str(address)),
            ("Accept", "application/json"),
            ("Connection", "close"),
        ],
    )
    async with await connect(address.host, address.port) as stream:
        try:
            await stream.send(conn.send(request) + conn.send(EndOfMessage()))
            return await _receive(conn, stream)
        except BrokenResourceError as exc:
            raise ConnectionResetError(f"{address} reset the connection") from exc


async def _receive(conn: Connection, stream: ByteStream) -> HttpAnswer:
    answer = HttpAnswer(0, {})
    while True:
        event = conn.next_event()
        if event is NEED_DATA:
            try:
                conn.receive_data(await stream.receive(RECEIVE_BYTES))
            except EndOfStream:
                conn.receive_data(b"")
        elif isinstance(event, Response):
            answer = HttpAnswer(event.status_code, dict(event.headers))
        elif isinstance(event, Data):
            answer.body += event.data
            if len(answer.body) > MAX_BODY_BYTES:
                del answer.body[MAX_BODY_BYTES:]
                return answer
        elif isinstance(event, (EndOfMessage, ConnectionClosed)) or event is PAUSED:
            return answer
        elif not isinstance(event, InformationalResponse):
            raise ProtocolError(f"unexpected {type(event).__name__}")
