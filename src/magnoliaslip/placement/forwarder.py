"""Forwards, relays and drops packets, and writes their history records."""

from logging import getLogger

from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import RST
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

MAX_RELAY_HOPS = 3

_logger = getLogger(__name__)


class Forwarder:
    """Sends, relays, refuses and drops packets for the other parts of the router.

    Args:
        state: State of the router.
    """

    __slots__ = ("_state",)

    def __init__(self, state: PlacementState) -> None:
        self._state = state

    def to_server(
        self, packet: FlowPacket, service: Service, number: int, reason: str
    ) -> bool:
        """Send a packet to a backend server, or abandon the flow if its zone is out.

        Returns:
            Whether the packet was sent.
        """
        state = self._state
        server = service.servers[number]
        if server.zone in state.snapshot.zones_out:
            self.abandon(packet, service, number)
            return False
        state.packets.send_to_server(server.address, packet.data)
        if state.recorder is not None:
            state.recorder.record(
                "forward",
                flow=packet.key.hex(),
                service=service.name,
                server=server.name,
                zone=server.zone,
                config=state.snapshot.version,
                segment=packet.kind,
                reason=reason,
            )
        return True

    def to_caller(self, packet: FlowPacket) -> None:
        """Forward an answer to the caller."""
        state = self._state
        state.packets.send_to_caller(packet.data)
        if state.recorder is not None:
            state.recorder.record("answer", flow=packet.key.hex(), segment=packet.kind)

    def relay(self, packet: FlowPacket, instance_id: str) -> None:
        """Relay a packet to another instance within the hop limit."""
        state = self._state
        hops = packet.hops + 1
        if hops > MAX_RELAY_HOPS:
            self.drop(packet, "hop_limit")
            return
        state.packets.relay(
            instance_id, packet.data, direction=packet.direction, hops=hops
        )
        if state.recorder is not None:
            state.recorder.record(
                "relay",
                flow=packet.key.hex(),
                to=instance_id,
                direction=int(packet.direction),
                hops=hops,
            )

    def drop(self, packet: FlowPacket | None, reason: str) -> None:
        """Drop a packet and count it by reason.

        Args:
            packet: The packet; None if it was not parsed.
            reason: The reason, as stated in the ``drop`` record.
        """
        state = self._state
        state.counters[f"drop_{reason}"] += 1
        if state.recorder is not None:
            flow = packet.key.hex() if packet else ""
            state.recorder.record("drop", flow=flow, reason=reason)

    def refuse(self, packet: FlowPacket, service: Service) -> None:
        """Refuse a new flow whose SYN was sent to no server."""
        state = self._state
        self._reset_caller(packet)
        state.counters["refusals"] += 1
        log_event(
            _logger, Event.FLOW_REFUSED, flow=packet.key.hex(), service=service.name
        )
        if state.recorder is not None:
            state.recorder.record("refuse", flow=packet.key.hex(), service=service.name)

    def abandon(self, packet: FlowPacket, service: Service, number: int) -> None:
        """Drop a packet of a flow whose zone is taken out, and reset the caller."""
        self.drop(packet, "zone_out")
        # No reset while a member has a newer configuration, in which the zone may be
        # back in.
        if (
            packet.direction is Direction.REQUEST
            and not packet.flags & RST
            and not self._state.config_outdated
        ):
            self._reset_caller(packet)
        log_event(
            _logger,
            Event.FLOW_GIVEN_UP,
            flow=packet.key.hex(),
            service=service.name,
            server=service.servers[number].name,
        )

    def _reset_caller(self, packet: FlowPacket) -> None:
        state = self._state
        try:
            reply = Segment.decode(packet.data).reset_reply()
        except PacketError:
            return
        state.packets.send_to_caller(reply.encode())
        if state.recorder is not None:
            state.recorder.record("answer", flow=packet.key.hex(), segment="reset")
