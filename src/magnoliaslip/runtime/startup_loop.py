"""Forwards packets and answers readiness polls before the event loop runs."""

from select import select
from socket import socket as Socket  # noqa: N812
from time import monotonic

from magnoliaslip.runtime.forwarder import TagForwarder

# The imports begin when no packet or poll has arrived for this time in seconds.
IDLE_TIMEOUT_S = 0.06
# The imports begin after this time in seconds even if packets keep arriving. By then,
# the packets queued during the start and their retransmissions have been forwarded.
MAX_BUSY_S = 1.0
# A readiness poll is one TCP segment sent directly after its connection is opened.
REQUEST_TIMEOUT_S = 0.02
MAX_REQUEST_BYTES = 2048
READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class StartupLoop:
    """Forwards packets and answers readiness polls without an event loop.

    Only used once the directory has routes and servers. The instance is then ready, so
    every request is answered with status 200, whatever its path.

    Args:
        forwarder: The packet path.
        readiness: Listening socket for readiness polls of the fabric.
    """

    __slots__ = ("_readiness", "forwarder")

    def __init__(self, forwarder: TagForwarder, readiness: Socket) -> None:
        self.forwarder = forwarder
        self._readiness = readiness

    def run_until_idle(self) -> None:
        """Serve until idle for `IDLE_TIMEOUT_S`, for at most `MAX_BUSY_S`."""
        deadline = monotonic() + MAX_BUSY_S
        while (remaining_s := deadline - monotonic()) > 0 and self._serve_once(
            min(remaining_s, IDLE_TIMEOUT_S)
        ):
            pass

    def serve_pending(self) -> None:
        """Serve everything that has already arrived."""
        while self._serve_once(0.0):
            pass

    def _serve_once(self, timeout_s: float) -> bool:
        """Wait for input and serve it; returns whether any arrived in time."""
        sock = self.forwarder.sock
        readable = select([sock, self._readiness], [], [], timeout_s)[0]
        if self._readiness in readable:
            self._answer_poll()
        has_packets = self.forwarder.handle_next_batch()
        return has_packets or bool(readable)

    def _answer_poll(self) -> None:
        try:
            with self._readiness.accept()[0] as conn:
                conn.settimeout(REQUEST_TIMEOUT_S)
                conn.recv(MAX_REQUEST_BYTES)
                conn.sendall(READY_RESPONSE)
        except OSError:
            return  # the fabric polls again after half a second
