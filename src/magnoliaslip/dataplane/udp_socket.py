"""UDP sockets that are read in batches, without an event loop."""

from socket import AF_INET, AF_INET6, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.address import Address

MAX_DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 << 20


def open_udp(address: Address) -> Socket:
    """Open a non-blocking UDP socket bound to an address.

    Raises:
        OSError: The address is in use or not of this machine.
    """
    sock = Socket(AF_INET6 if ":" in address.host else AF_INET, SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER_BYTES)
        sock.setsockopt(SOL_SOCKET, SO_SNDBUF, BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def receive_batch(sock: Socket) -> list[bytes]:
    """Return the datagrams that wait in a socket, at most `BATCH_DATAGRAMS`."""
    datagrams: list[bytes] = []
    receive = sock.recv
    try:
        for _ in range(BATCH_DATAGRAMS):
            datagrams.append(receive(MAX_DATAGRAM_BYTES))
    except (BlockingIOError, ConnectionRefusedError):
        pass
    return datagrams


def receive_batch_from(sock: Socket) -> list[tuple[bytes, Address]]:
    """Return waiting datagrams with their sources, at most `BATCH_DATAGRAMS`."""
    datagrams: list[tuple[bytes, Address]] = []
    try:
        for _ in range(BATCH_DATAGRAMS):
            payload, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            datagrams.append((payload, Address(*source[:2])))
    except (BlockingIOError, ConnectionRefusedError):
        pass
    return datagrams
