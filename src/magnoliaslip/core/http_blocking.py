"""One blocking HTTP/1.1 request, for the start of a process."""

from socket import create_connection
from time import monotonic

from magnoliaslip.core.http_exchange import RECEIVE_BYTES, HttpAnswer, HttpExchange


def http_get_blocking(
    address: tuple[str, int], target: str, *, deadline: float, max_body_bytes: int
) -> HttpAnswer:
    """Send a GET request on a connection of its own and return the answer.

    Args:
        address: Host and port.
        target: Path and query.
        deadline: Monotonic time in seconds at which to give up.
        max_body_bytes: Longer content is cut off here.

    Raises:
        OSError: The address can't be reached, or the deadline passed.
        HttpProtocolError: The answer is not HTTP/1.1.
    """
    host = f"{address[0]}:{address[1]}"
    exchange = HttpExchange(host, target, max_body_bytes=max_body_bytes)
    with create_connection(address, timeout=_left(deadline)) as conn:
        conn.sendall(exchange.request)
        while True:
            conn.settimeout(_left(deadline))
            if exchange.feed(conn.recv(RECEIVE_BYTES)):
                return exchange.answer


def _left(deadline: float) -> float:
    left = deadline - monotonic()
    if left <= 0:
        raise TimeoutError("the deadline has passed")
    return left
