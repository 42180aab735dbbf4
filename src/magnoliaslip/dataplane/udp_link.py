"""The packet link of an instance: tunnels over UDP sockets."""

from collections.abc import Callable
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.address import Address
from magnoliaslip.core.links import Direction, PacketLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.packet.tunnel import Relay


class UdpPacketLink(PacketLink):
    """Sends inner packets from the data socket and relays from the relay socket.

    Args:
        data: Socket towards backend servers and callers.
        relay: Socket bound to this instance's control address, so that the source
            address of its relays shows the receiver that they come from a member.
        egress: Address that receives answers to callers.
        control_address: Returns the control address of a member, or None.
        metrics: Receives the counters of sent, relayed and failed packets.
    """

    __slots__ = ("_control_address", "_data", "_egress", "_metrics", "_relay")

    def __init__(
        self,
        data: Socket,
        relay: Socket,
        *,
        egress: Address,
        control_address: Callable[[str], Address | None],
        metrics: Metrics,
    ) -> None:
        self._data = data
        self._relay = relay
        self._egress = egress
        self._control_address = control_address
        self._metrics = metrics

    def send(self, packet: bytes, address: Address) -> None:
        """Send a packet; drops it if the buffer is full or the address unreachable."""
        try:
            self._data.sendto(packet, address)
        except OSError:
            self._metrics.counters["send_failed"] += 1

    def send_to_server(self, server: Address, packet: bytes) -> None:
        """Send an inner packet to the tunnel address of a backend server."""
        self.send(packet, server)

    def send_to_caller(self, packet: bytes) -> None:
        """Send an inner packet to its caller through the egress address."""
        self.send(packet, self._egress)

    def relay(
        self, instance_id: str, packet: bytes, *, direction: Direction, hops: int
    ) -> None:
        """Forward an inner packet to another instance."""
        address = self._control_address(instance_id)
        if address is None:
            self._metrics.counters["relay_unknown_member"] += 1
            return
        self._metrics.counters["relayed"] += 1
        try:
            self._relay.sendto(Relay(direction, hops, packet).encode(), address)
        except OSError:
            self._metrics.counters["send_failed"] += 1
