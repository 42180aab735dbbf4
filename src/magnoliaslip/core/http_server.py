"""A minimal HTTP/1.1 server, based on ``h11`` and ``anyio``."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from logging import getLogger
from socket import create_server
from socket import socket as Socket  # noqa: N812
from urllib.parse import parse_qsl, unquote, urlsplit

from anyio import (
    TASK_STATUS_IGNORED,
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
)
from anyio.abc import SocketListener, SocketStream, TaskStatus
from h11 import (
    DONE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from msgspec.json import encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.error_text import error_text
from magnoliaslip.core.events import Event, log_event

RECEIVE_BYTES = 65_536
MAX_REQUEST_BODY_BYTES = 2 << 20

logger = getLogger(__name__)


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request as passed to a handler.

    Attributes:
        method: HTTP method.
        path: Decoded path of the target.
        query: Parameters of the target.
        body: The content.
        target_error: Why the target can't be decoded; such a request gets status 400
            and is not passed to the handler.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    target_error: str = ""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A response to send, as returned by a handler."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def json(cls, value: object, *, status: int = 200) -> "HttpResponse":
        """Build a response with a JSON body.

        >>> HttpResponse.json({"ok": True}).body
        b'{"ok":true}'
        """
        return cls(status, encode(value), (("Content-Type", "application/json"),))


class DropConnection(Exception):  # noqa: N818
    """Closes the connection without a response.

    Raised by a handler, and for a request whose body is too large.
    """


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(
    address: Address | Socket,
    handler: Handler,
    *,
    task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; one task per connection.

    Args:
        address: Address to bind, or a socket that already listens.
        handler: Answers a request. A `ValueError` or `KeyError` becomes a response
            with status 400, any other unexpected error is logged and becomes one with
            status 500.
        task_status: Notified when the server listens.

    Raises:
        OSError: The address can't be bound.
    """

    async def serve_connection(stream: SocketStream) -> None:
        async with stream:
            with suppress(
                DropConnection,
                EndOfStream,
                BrokenResourceError,
                ClosedResourceError,
                RemoteProtocolError,
                LocalProtocolError,
            ):
                await _serve_requests(stream, handler)

    # anyio would resolve the host name, which needs a thread.
    sock = address if isinstance(address, Socket) else create_server(address)
    sock.setblocking(False)
    listener = await SocketListener.from_socket(sock)
    async with listener:
        task_status.started()
        await listener.serve(serve_connection)


async def _serve_requests(stream: SocketStream, handler: Handler) -> None:
    conn = Connection(SERVER)
    while True:
        req = await _receive_request(conn, stream)
        if req is None:
            return
        response = await _answer(req, handler)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        data = conn.send(Response(status_code=response.status, headers=headers))
        if response.status != 304:
            data += conn.send(Data(response.body))
        await stream.send(data + conn.send(EndOfMessage()))
        if conn.our_state is not DONE or conn.their_state is not DONE:
            return
        conn.start_next_cycle()


async def _answer(req: HttpRequest, handler: Handler) -> HttpResponse:
    try:
        if req.target_error:
            raise ValueError(req.target_error)
        return await handler(req)
    except (ValueError, KeyError) as exc:
        return HttpResponse.json({"error": str(exc)}, status=400)
    except DropConnection:
        raise
    except Exception:
        log_event(logger, Event.UNEXPECTED_ERROR, path=req.path, error=error_text())
        return HttpResponse.json({"error": "internal error"}, status=500)


async def _receive_request(
    conn: Connection, stream: SocketStream
) -> HttpRequest | None:
    head: Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is NEED_DATA:
            try:
                conn.receive_data(await stream.receive(RECEIVE_BYTES))
            except EndOfStream:
                conn.receive_data(b"")
        elif isinstance(event, Request):
            head = event
        elif isinstance(event, Data):
            body += event.data
            if len(body) > MAX_REQUEST_BODY_BYTES:
                raise DropConnection
        elif isinstance(event, EndOfMessage) and head is not None:
            return _decode_request(head, bytes(body))
        elif event is PAUSED or isinstance(event, ConnectionClosed):
            return None


def _decode_request(head: Request, body: bytes) -> HttpRequest:
    method = head.method.decode("ascii")
    try:
        url = urlsplit(head.target.decode("ascii"))
        return HttpRequest(method, unquote(url.path), dict(parse_qsl(url.query)), body)
    except ValueError as exc:
        return HttpRequest(method, "", target_error=f"invalid target: {exc}")
