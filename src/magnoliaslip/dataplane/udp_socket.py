"""Non-blocking UDP sockets, read in batches without an event loop."""

from socket import AF_INET, AF_INET6, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET
from socket import socket as Socket  # noqa: N812

MAX_DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 4 << 20


def open_udp(address: tuple[str, int]) -> Socket:
    """Open a non-blocking UDP socket bound to an address and port.

    Raises:
        OSError: The address is in use, or is not an address of this machine.
    """
    sock = Socket(AF_INET6 if ":" in address[0] else AF_INET, SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def receive_batch(sock: Socket) -> list[bytes]:
    """Return the pending datagrams of a socket, at most `BATCH_DATAGRAMS`."""
    datagrams: list[bytes] = []
    receive = sock.recv
    try:
        for _ in range(BATCH_DATAGRAMS):
            datagrams.append(receive(MAX_DATAGRAM_BYTES))
    except (BlockingIOError, ConnectionRefusedError):
        pass  # nothing is pending, or an earlier datagram met a closed port
    return datagrams
