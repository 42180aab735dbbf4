"""The sockets of an instance that others send to without being asked.

They are opened before the other modules of an instance are imported: packets of callers
and polls of the fabric wait in them while the instance starts.
"""

from socket import create_server
from socket import socket as Socket  # noqa: N812
from time import monotonic

from magnoliaslip.dataplane.udp_socket import open_udp


class Listeners:
    """Sockets for callers' packets and for polls of readiness.

    Args:
        packets: Address and port that takes packets of callers.
        readiness: Address and port at which the fabric asks for readiness.

    Attributes:
        opened_at: Monotonic time in seconds.

    Raises:
        ValueError: An address is not of the form ADDRESS:PORT.
        OSError: An address is in use or not of this machine.
    """

    __slots__ = ("opened_at", "packets", "readiness")

    def __init__(self, packets: str, readiness: str) -> None:
        self.packets: Socket = open_udp(_address(packets))
        try:
            self.readiness: Socket = create_server(_address(readiness))
        except (ValueError, OSError):
            self.packets.close()
            raise
        self.opened_at = monotonic()

    def close(self) -> None:
        """Close both sockets."""
        self.packets.close()
        self.readiness.close()


def _address(text: str) -> tuple[str, int]:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form ADDRESS:PORT")
    return host.strip("[]"), int(port)
