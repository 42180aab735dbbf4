"""Router of a single instance, and its snapshot, for measurements."""

from random import Random

from magnoliaslip.config.snapshot import (
    BackendServer,
    HistoryEntry,
    Pool,
    Route,
    Snapshot,
)
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.router import FlowRouter

SEED = 1


class NullPeerLink(PeerLink):
    """Discards control messages."""

    __slots__ = ()

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Discard the message."""


class NullPacketLink(PacketLink):
    """Discards packets."""

    __slots__ = ()

    def send_to_server(self, server: Address, packet: bytes) -> None:
        """Discard the packet."""

    def send_to_caller(self, packet: bytes) -> None:
        """Discard the packet."""

    def relay(
        self, instance_id: str, packet: bytes, *, direction: Direction, hops: int
    ) -> None:
        """Discard the packet."""


def one_service(service: Address, server: Address, *, servers: int = 1) -> Snapshot:
    """Build a snapshot of one service whose servers share an address."""
    pool = Pool(
        "service",
        1,
        tuple(BackendServer(f"server-{i}", server, "a") for i in range(servers)),
    )
    return Snapshot(
        version=1,
        routes={service: Route(service, "service")},
        pools={"service": pool},
    )


def build_router(
    clock: Clock,
    packets: PacketLink,
    *,
    service: Address,
    server: Address,
    owner: bool = True,
    peers: PeerLink | None = None,
) -> FlowRouter:
    """Build the router of an instance that owns every slice, or none.

    Without slices the router holds no certificates either and relays every packet.
    """
    own = "i1"
    router = FlowRouter(
        own,
        clock=clock,
        packets=packets,
        peers=peers or NullPeerLink(),
        recorder=NullRecorder(),
        rng=Random(SEED),
    )
    members = {own: Member(own, "a")}
    if not owner:
        members[own] = Member(own, "a", MemberState.LEAVING)
        members["i2"] = Member("i2", "a")
    router.apply_view(GroupView(1, members))
    router.apply_history(
        [HistoryEntry(one_service(service, server), clock.monotonic())]
    )
    return router
