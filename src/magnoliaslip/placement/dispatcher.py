"""Dispatches packets to the parts of the router."""

from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import RST, SYN
from magnoliaslip.placement.bucket_table import NO_SERVER
from magnoliaslip.placement.direct_paths import DirectPaths
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.forwarder import Forwarder
from magnoliaslip.placement.handover import Handover
from magnoliaslip.placement.owner import Owner
from magnoliaslip.placement.records import FlowFlag
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState


class Dispatcher:
    """Forwards a packet directly, handles it as its owner, or relays it to the owner.

    Args:
        state: State of the router.
        forwarder: Forwards, relays and drops packets.
        owner: Handles the flows of the slices that this instance owns.
        direct: Finds the server of packets that need no owner.
        handover: Records when a leaving instance received its last packet.
    """

    __slots__ = ("_direct", "_forwarder", "_handover", "_owner", "_state")

    def __init__(
        self,
        state: PlacementState,
        forwarder: Forwarder,
        owner: Owner,
        direct: DirectPaths,
        handover: Handover,
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._owner = owner
        self._direct = direct
        self._handover = handover

    def handle(self, packet: FlowPacket) -> None:
        """Handle a packet of either direction."""
        state = self._state
        service = state.routes.get(packet.service_key)
        if service is None:
            self._forwarder.drop(packet, "no_route")
            return
        if state.policy == "stateless":
            self._handle_stateless(packet, service)
            return
        if state.leaving:
            self._handover.last_packet_at = state.now()
        if packet.direction is Direction.ANSWER:
            self._handle_answer(packet, service)
        else:
            self._handle_request(packet, service)

    def _handle_stateless(self, packet: FlowPacket, service: Service) -> None:
        if packet.direction is Direction.ANSWER:
            self._forwarder.to_caller(packet)
            return
        number = service.epochs.current_default(packet.bucket)
        if number == NO_SERVER:
            self._forwarder.drop(packet, "no_backend_server")
        else:
            self._forwarder.to_server(packet, service, number, "default")

    def _handle_answer(self, packet: FlowPacket, service: Service) -> None:
        if not packet.goes_through_owner:
            self._forwarder.to_caller(packet)
            return
        if self._acts_as_owner(packet, service):
            self._owner.handle_answer(packet, service)
        else:
            self._relay_to_owner(packet, service)

    def _handle_request(self, packet: FlowPacket, service: Service) -> None:
        state = self._state
        if self._acts_as_owner(packet, service):
            self._owner.handle_request(packet, service)
            return
        if not packet.goes_through_owner:
            number = self._direct.default_server(packet.key, service, packet.bucket)
            if number is not None:
                self._forwarder.to_server(packet, service, number, "default")
                return
            record = state.records.get(packet.key, packet.hash)
            if (
                record is not None
                and record.flags & FlowFlag.EXCEPTION
                and self._state.policy != "owner"
            ):
                service_of_flow = state.services[record.service]
                zone = service_of_flow.servers[record.server].zone
                # Only the owner abandons a flow: this replica may be outdated.
                if zone not in state.snapshot.zones_out:
                    self._forwarder.to_server(
                        packet, service_of_flow, record.server, "exception"
                    )
                    return
        self._relay_to_owner(packet, service)

    def _acts_as_owner(self, packet: FlowPacket, service: Service) -> bool:
        """Check whether this instance handles the packet as its owner does.

        Besides the owner, that is an instance that placed a half-open flow, one to
        which an owner relayed a SYN because it holds the exception, and a leaving one
        to which a packet was relayed back because other members have not applied its
        leaving yet.
        """
        state = self._state
        if state.owns(service, packet.bucket):
            return True
        if state.leaving and packet.hops >= 2:
            return True
        if not packet.flags & (SYN | RST):
            return False
        if state.half_open.get(packet.key) is not None:
            return True
        if not packet.is_syn or not packet.hops or self._state.policy == "owner":
            return False
        record = state.records.get(packet.key, packet.hash)
        return record is not None and bool(record.flags & FlowFlag.EXCEPTION)

    def _relay_to_owner(self, packet: FlowPacket, service: Service) -> None:
        owner = service.slices.owner(packet.bucket)
        if packet.is_syn and self._state.handling_held_packets:
            # If the flow has closed, the owner would place the SYN as a new flow.
            self._forwarder.drop(packet, "stale_open")
        elif owner is None:
            self._forwarder.drop(packet, "not_a_member")
        else:
            self._forwarder.relay(packet, owner)
