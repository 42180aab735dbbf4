"""The sockets that receive packets of callers and readiness polls.

They are opened before the other modules of an instance are imported, so that packets
and polls are queued while the instance starts.
"""

from socket import create_server
from socket import socket as Socket  # noqa: N812
from time import monotonic

from magnoliaslip.core.address_text import split_address
from magnoliaslip.dataplane.udp_socket import open_udp


class Listeners:
    """Sockets for packets of callers and for readiness polls.

    Args:
        packets: Address and port that receive packets of callers.
        readiness: Address and port at which the fabric polls the readiness.

    Attributes:
        packets: Non-blocking UDP socket.
        readiness: Listening TCP socket.
        opened_at: Monotonic time in seconds at which both sockets were open.

    Raises:
        ValueError: An address is not an IP address with a port.
        OSError: An address is in use or does not belong to this machine.
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
