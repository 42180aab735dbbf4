"""Selection of free ports on loopback."""

from random import Random
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.address import Address

LOOPBACK_HOST = "127.0.0.1"
# Below the usual range of ephemeral ports, so that no outgoing connection occupies a
# port between its selection and its use.
FIRST_PORT = 12_000
LAST_PORT = 31_999


class PortPicker:
    """Picks ports that are free for TCP and UDP, each at most once.

    >>> picker = PortPicker(Random(1))
    >>> picker.pick() != picker.pick()
    True
    """

    __slots__ = ("_allocated", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._allocated: set[int] = set()

    def pick(self, host: str = LOOPBACK_HOST) -> Address:
        """Return an address on a loopback host with a port that is currently free."""
        while True:
            port = self._rng.randint(FIRST_PORT, LAST_PORT)
            if port not in self._allocated and _is_free(host, port):
                self._allocated.add(port)
                return Address(host, port)


def _is_free(host: str, port: int) -> bool:
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with Socket(AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
