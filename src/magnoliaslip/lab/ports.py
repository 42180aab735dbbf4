"""Selection of free ports on loopback."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.address import Address

LOOPBACK_HOST = "127.0.0.1"
# Below the usual range of ephemeral ports, so that no outgoing connection occupies a
# port between its selection and its use.
FIRST_PORT = 12_000
LAST_PORT = 31_999
# Ports of a block; a site needs about 60 of them.
BLOCK_PORTS = 200
# Each block is reserved on this host, which no component of the lab listens on, by a
# socket on the block's first port.
RESERVATION_HOST = "127.0.3.1"


class PortPicker:
    """Picks ports that are free for TCP and UDP, each at most once.

    Ports are picked before the processes that use them bind them. Use
    `reserve_ports` where other processes may pick ports at the same time.

    Args:
        rng: Source of the choice.
        first: First port to pick from.
        last: Last port to pick from.

    >>> picker = PortPicker(Random(1))
    >>> picker.pick() != picker.pick()
    True
    """

    __slots__ = ("_allocated", "_first", "_last", "_rng")

    def __init__(
        self, rng: Random, *, first: int = FIRST_PORT, last: int = LAST_PORT
    ) -> None:
        self._rng = rng
        self._first = first
        self._last = last
        self._allocated: set[int] = set()

    def pick(self, host: str = LOOPBACK_HOST) -> Address:
        """Return an address on a loopback host with a port that is currently free."""
        while True:
            port = self._rng.randint(self._first, self._last)
            if port not in self._allocated and _is_free(host, port):
                self._allocated.add(port)
                return Address(host, port)


@contextmanager
def reserve_ports(rng: Random) -> Iterator[PortPicker]:
    """Provide a picker for a block of ports that no other process picks from.

    The reservation ends when the block is left, or with the process.

    Raises:
        OSError: All blocks are reserved.

    >>> with reserve_ports(Random(1)) as first, reserve_ports(Random(1)) as second:
    ...     first.pick().port // BLOCK_PORTS != second.pick().port // BLOCK_PORTS
    True
    """
    starts = list(range(FIRST_PORT, LAST_PORT + 1, BLOCK_PORTS))
    rng.shuffle(starts)
    with Socket(AF_INET, SOCK_DGRAM) as reservation:
        for start in starts:
            try:
                reservation.bind((RESERVATION_HOST, start))
            except OSError:
                continue
            yield PortPicker(rng, first=start, last=start + BLOCK_PORTS - 1)
            return
        raise OSError(f"all {len(starts)} blocks of lab ports are reserved")


def _is_free(host: str, port: int) -> bool:
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with Socket(AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
