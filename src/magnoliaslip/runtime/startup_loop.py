"""Forwards packets and answers for readiness before the event loop runs."""

from select import select
from socket import socket as Socket  # noqa: N812
from time import monotonic

from magnoliaslip.dataplane.udp_socket import receive_batch
from magnoliaslip.runtime.forwarder import Forwarder

# Without a packet for this time in seconds there is time for the imports.
IDLE_TIMEOUT_S = 0.06
# The imports begin after this time in seconds even if packets keep coming: until then
# the packets that waited for the instance, and their repetitions, are through.
MAX_BUSY_S = 1.0
# A poll of the fabric is one small packet that follows its connection at once.
REQUEST_TIMEOUT_S = 0.02
MAX_REQUEST_BYTES = 2048
READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class StartupLoop:
    """Serves packets and readiness without an event loop.

    Only used once routes and servers are known, so the instance is ready.

    Args:
        forwarder: The packet path.
        readiness: Listening socket on which the fabric asks for readiness.
    """

    __slots__ = ("_readiness", "forwarder")

    def __init__(self, forwarder: Forwarder, readiness: Socket) -> None:
        self.forwarder = forwarder
        self._readiness = readiness

    def run_until_idle(self) -> None:
        """Serve until no packet comes for a moment, or for `MAX_BUSY_S`."""
        deadline = monotonic() + MAX_BUSY_S
        while (remaining_s := deadline - monotonic()) > 0 and self._serve_once(
            min(remaining_s, IDLE_TIMEOUT_S)
        ):
            pass

    def serve_pending(self) -> None:
        """Serve what has arrived."""
        while self._serve_once(0.0):
            pass

    def _serve_once(self, timeout_s: float) -> bool:
        """Serve what arrives first; returns whether anything did in time."""
        sock = self.forwarder.sock
        readable = select([sock, self._readiness], [], [], timeout_s)[0]
        if self._readiness in readable:
            self._answer_poll(self._readiness.accept()[0])
        if sock in readable:
            self.forwarder.handle_batch(receive_batch(sock))
        return bool(readable)

    def _answer_poll(self, conn: Socket) -> None:
        with conn:
            conn.settimeout(REQUEST_TIMEOUT_S)
            try:
                conn.recv(MAX_REQUEST_BYTES)
                conn.sendall(READY_RESPONSE)
            except OSError:
                return  # the fabric polls again in half a second
