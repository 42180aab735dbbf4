"""The sockets of an instance that others send to without being asked.

They are opened before the other modules of an instance are imported: packets of callers
and polls of the fabric wait in them while the instance starts.
"""

from socket import create_server
from socket import socket as Socket  # noqa: N812
from time import monotonic

from magnoliaslip.core.address_text import split_address
from magnoliaslip.dataplane.udp_socket import open_udp


class Listeners:
    """Sockets for callers' packets and for polls of readiness.

    Args:
        packets: Address and port that takes packets of callers.
        readiness: Address and port at which the fabric asks for readiness.

    Attributes:
        opened_at: Monotonic time in seconds.

    Raises:
        ValueError: An address is no IP address with a port.
        OSError: An address is in use or not of this machine.
    """

    __slots__ = ("opened_at", "packets", "readiness")

    def __init__(self, packets: str, readiness: str) -> None:
        self.packets: Socket = open_udp(split_address(packets))
        try:
            self.readiness: Socket = create_server(split_address(readiness))
        except (ValueError, OSError):
            self.packets.close()
            raise
        self.opened_at = monotonic()

    def close(self) -> None:
        """Close both sockets."""
        self.packets.close()
        self.readiness.close()
