"""Packet and peer links of a simulated instance."""

from collections import Counter
from collections.abc import Callable, Mapping

from magnoliaslip.core.address import Address
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.packet.tunnel import Relay
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.proof.network import CALLERS, Network

# The prefix of a gRPC message has 5 bytes, the header of an HTTP/2 DATA frame 9.
FRAME_OVERHEAD_BYTES = 14

ReceiveHandler = Callable[[bytes], None]


class Receivers:
    """The receive handlers of all nodes of the simulated network.

    Attributes:
        datagram_handlers: Handlers of tunnel datagrams by instance.
        message_handlers: Handlers of serialized control messages by instance.
        servers: Node names and packet handlers of backend servers by address.
        callers: Handler of packets to callers.
    """

    __slots__ = ("callers", "datagram_handlers", "message_handlers", "servers")

    def __init__(self, callers: ReceiveHandler) -> None:
        self.datagram_handlers: dict[str, ReceiveHandler] = {}
        self.message_handlers: dict[str, ReceiveHandler] = {}
        self.servers: dict[Address, tuple[str, ReceiveHandler]] = {}
        self.callers = callers


class SimPacketLink(PacketLink):
    """Sends inner packets over the simulated network.

    Args:
        instance_id: The sending instance.
        network: The simulated network.
        receivers: The receive handlers of all nodes.
        sent: Counts packets by kind: ``server``, ``caller`` and ``relay``.
    """

    __slots__ = ("_id", "_network", "_receivers", "_sent")

    def __init__(
        self,
        instance_id: str,
        network: Network,
        receivers: Receivers,
        sent: Counter[str],
    ) -> None:
        self._id = instance_id
        self._network = network
        self._receivers = receivers
        self._sent = sent

    def send_to_server(self, server: Address, packet: bytes) -> None:
        """Send an inner packet to a backend server."""
        target = self._receivers.servers.get(server)
        if target is not None and self._is_running():
            self._sent["server"] += 1
            self._network.send(self._id, target[0], target[1], packet)

    def send_to_caller(self, packet: bytes) -> None:
        """Send an inner packet to the callers."""
        if self._is_running():
            self._sent["caller"] += 1
            self._network.send(self._id, CALLERS, self._receivers.callers, packet)

    def relay(
        self, instance_id: str, packet: bytes, *, direction: Direction, hops: int
    ) -> None:
        """Send an inner packet to another instance in a relay tunnel."""
        receive = self._receivers.datagram_handlers.get(instance_id)
        if receive is not None and self._is_running():
            self._sent["relay"] += 1
            payload = Relay(direction, hops, packet).encode()
            self._network.send(self._id, instance_id, receive, payload)

    def _is_running(self) -> bool:
        process = self._network.process_of(self._id)
        return process is not None and not process.ended


class SimPeerLink(PeerLink):
    """Sends control messages over the simulated network and counts their bytes.

    Args:
        instance_id: The sending instance.
        network: The simulated network.
        message_handlers: Handlers of serialized messages by instance.
        sent_control_bytes: Counts the bytes that each instance sends, frame headers
            included.
    """

    __slots__ = ("_id", "_message_handlers", "_network", "_sent_control_bytes")

    def __init__(
        self,
        instance_id: str,
        network: Network,
        message_handlers: Mapping[str, ReceiveHandler],
        sent_control_bytes: Counter[str],
    ) -> None:
        self._id = instance_id
        self._network = network
        self._message_handlers = message_handlers
        self._sent_control_bytes = sent_control_bytes

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Send a serialized message, so that instances share no object."""
        receive = self._message_handlers.get(instance_id)
        process = self._network.process_of(self._id)
        if receive is None or process is None or process.ended:
            return
        data = msg.SerializeToString()
        self._sent_control_bytes[self._id] += len(data) + FRAME_OVERHEAD_BYTES
        self._network.send_stream(self._id, instance_id, receive, data)
