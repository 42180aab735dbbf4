"""Blocking HTTP/1.1 requests, for the start of a process."""

from socket import create_connection
from time import monotonic

from magnoliaslip.core.http_exchange import (
    RECEIVE_BYTES,
    HttpClientResponse,
    HttpExchange,
)


def http_get_blocking(
    address: tuple[str, int], target: str, *, deadline: float, max_body_bytes: int
) -> HttpClientResponse:
    """Send a GET request on a new connection and return the response.

    Args:
        address: Host and port.
        target: Path and query.
        deadline: Monotonic time in seconds at which the request times out.
        max_body_bytes: Longer content is truncated to this length.

    Raises:
        OSError: The address can't be reached, it reset the connection, or the
            deadline passed.
        HttpProtocolError: The response is not HTTP/1.1, or it ended early.
    """
    host = f"{address[0]}:{address[1]}"
    exchange = HttpExchange(host, target, max_body_bytes=max_body_bytes)
    with create_connection(address, timeout=_remaining_s(deadline)) as conn:
        conn.sendall(exchange.request)
        while True:
            conn.settimeout(_remaining_s(deadline))
            if exchange.feed(conn.recv(RECEIVE_BYTES)):
                return exchange.response


def _remaining_s(deadline: float) -> float:
    remaining_s = deadline - monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the deadline has passed")
    return remaining_s
