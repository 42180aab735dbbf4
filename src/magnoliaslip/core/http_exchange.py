"""An HTTP/1.1 request and its response, without I/O.

``httptools`` parses the response: its import takes a tenth of the time of a parser
written in Python, and every start of an instance waits for its first response.
"""

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from magnoliaslip.core.errors import PlatformError

RECEIVE_BYTES = 65536


class HttpProtocolError(PlatformError):
    """A response is not HTTP/1.1, or it ended early."""

    code = "MS303"


class HttpClientResponse:
    """An HTTP response as received.

    Attributes:
        status: HTTP status code; 0 if the connection was closed before it.
        headers: Headers by name in lower case.
        body: The content, up to the maximum length.
        is_truncated: Whether the content was longer.
    """

    __slots__ = ("body", "headers", "is_truncated", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.is_truncated = False


class HttpExchange:
    """A GET request to send, and the response as it arrives.

    Args:
        host: Value of the ``Host`` header.
        target: Path and query.
        max_body_bytes: Longer content is truncated to this length.

    Attributes:
        request: Bytes to send.
        response: The response as far as it was received.
        complete: Whether the response is complete.

    >>> exchange = HttpExchange("127.0.0.1:80", "/", max_body_bytes=10)
    >>> exchange.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    True
    >>> bytes(exchange.response.body)
    b'hi'
    """

    __slots__ = ("_max_body_bytes", "_parser", "complete", "request", "response")

    def __init__(self, host: str, target: str, *, max_body_bytes: int) -> None:
        self.request = (
            f"GET {target} HTTP/1.1\r\nHost: {host}\r\n"
            "Accept: application/json\r\nConnection: close\r\n\r\n"
        ).encode("ascii")
        self.response = HttpClientResponse()
        self.complete = False
        self._max_body_bytes = max_body_bytes
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> bool:
        """Process received bytes; empty if the connection was closed.

        Returns:
            Whether the response is complete.

        Raises:
            HttpProtocolError: The response is not HTTP/1.1, or it ended early.
        """
        if not data:
            self._on_connection_closed()
            return True
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as exc:
            raise HttpProtocolError("the response changes the protocol") from exc
        except HttpParserError as exc:
            if not self.complete:
                raise HttpProtocolError(f"the response is not HTTP/1.1: {exc}") from exc
        return self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Store the status; called by the parser."""
        status = self._parser.get_status_code()
        if status >= 200:
            self.response.status = status
        else:
            self.response.headers.clear()  # informational; the final response follows

    def on_body(self, data: bytes) -> None:
        """Append content, up to the maximum length; called by the parser."""
        body = self.response.body
        body += data
        if len(body) > self._max_body_bytes:
            del body[self._max_body_bytes :]
            self.response.is_truncated = True
            self.complete = True

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        if self.response.status:
            self.complete = True

    def _on_connection_closed(self) -> None:
        headers = self.response.headers
        if self.response.status and (
            b"content-length" in headers or b"transfer-encoding" in headers
        ):
            raise HttpProtocolError("the connection was closed within the response")
        self.complete = True
