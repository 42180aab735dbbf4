"""HTTP/1.1 requests, each on a new connection."""

from collections.abc import Awaitable, Callable

from anyio import BrokenResourceError, EndOfStream, connect_tcp
from anyio.abc import ByteStream

from magnoliaslip.config.decoding import MAX_VALUE_BYTES
from magnoliaslip.core.address import Address
from magnoliaslip.core.http_exchange import (
    RECEIVE_BYTES,
    HttpClientResponse,
    HttpExchange,
)

# One byte above the limit of a value, so that a truncated value is still rejected as
# too large.
MAX_BODY_BYTES = MAX_VALUE_BYTES + 1

Connect = Callable[[str, int], Awaitable[ByteStream]]


async def http_get(
    address: Address,
    target: str,
    *,
    connect: Connect = connect_tcp,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> HttpClientResponse:
    """Send a GET request and return the response.

    There is no time-out; the caller sets one, for example with `fail_after`.

    Args:
        address: Where to connect.
        target: Path and query.
        connect: Opens a byte stream to a host and port.
        max_body_bytes: Longer content is truncated to this length.

    Raises:
        OSError: The address can't be reached, or it reset the connection.
        HttpProtocolError: The response is not HTTP/1.1, or it ended early.
    """
    exchange = HttpExchange(str(address), target, max_body_bytes=max_body_bytes)
    async with await connect(address.host, address.port) as stream:
        try:
            await stream.send(exchange.request)
            while not exchange.feed(await _receive(stream)):
                pass
        except BrokenResourceError as exc:
            raise ConnectionResetError(f"{address} reset the connection") from exc
    return exchange.response


async def _receive(stream: ByteStream) -> bytes:
    try:
        return await stream.receive(RECEIVE_BYTES)
    except EndOfStream:
        return b""
