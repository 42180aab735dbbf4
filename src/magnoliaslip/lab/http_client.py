"""Client for the lab's own HTTP endpoints."""

from typing import Any

from anyio import EndOfStream, connect_tcp, fail_after
from anyio.abc import SocketStream
from h11 import (
    CLIENT,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    Request,
    Response,
)
from msgspec.json import decode, encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PlatformError

REQUEST_TIMEOUT_S = 5.0
RECEIVE_BYTES = 65_536


async def fetch_json(
    address: Address, method: str, path: str, value: object = None
) -> Any:
    """Send a request with a JSON body and return the decoded answer.

    Raises:
        PlatformError: No answer arrived within 5 s, or it has an error status.
    """
    try:
        with fail_after(REQUEST_TIMEOUT_S):
            async with await connect_tcp(address.host, address.port) as stream:
                status, body = await _exchange(stream, method, path, encode(value))
    except (OSError, TimeoutError, EndOfStream) as exc:
        raise PlatformError(
            f"no answer from {address} to {method} {path}: {exc}",
            remedy="check that the lab process is running",
        ) from exc
    if status >= 300:
        raise PlatformError(f"{address} answered {method} {path} with {status}: {body}")
    return decode(body) if body else None


async def _exchange(
    stream: SocketStream, method: str, path: str, content: bytes
) -> tuple[int, bytes]:
    conn = Connection(CLIENT)
    headers = [
        ("Host", "lab"),
        ("Content-Length", str(len(content))),
        ("Connection", "close"),
    ]
    req = Request(method=method, target=path, headers=headers)
    data = conn.send(req) + conn.send(Data(content)) + conn.send(EndOfMessage())
    await stream.send(data)
    status, body = 0, bytearray()
    while True:
        event = conn.next_event()
        if event is NEED_DATA:
            conn.receive_data(await stream.receive(RECEIVE_BYTES))
        elif isinstance(event, Response):
            status = event.status_code
        elif isinstance(event, Data):
            body += event.data
        elif isinstance(event, (EndOfMessage, ConnectionClosed)):
            return status, bytes(body)
