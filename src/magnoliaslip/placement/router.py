"""The router decides which backend server gets each packet."""

from collections.abc import Sequence
from random import Random

from magnoliaslip.config.snapshot import BackendServer, HistoryEntry, Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.group import GroupView
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.packet.flow_key import RST, SYN, FlowKey, reverse_key, split_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.placement.bucket_table import BUCKET_MASK, BucketTable
from magnoliaslip.placement.explanation import Explanation
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.settings import PlacementConfig

POLICIES = ("exceptions", "owner", "replicated", "stateless")


class FlowRouter:
    """Chooses backend servers and forwards packets; synchronous."""

    def __init__(
        self,
        instance_id: str,
        *,
        clock: Clock,
        packets: PacketLink,
        peers: PeerLink,
        recorder: Recorder,
        rng: Random,
        policy: str = "exceptions",
        cfg: PlacementConfig | None = None,
    ) -> None:
        if policy not in POLICIES:
            raise ValueError(f"policy {policy!r} is not one of {', '.join(POLICIES)}")
        self.instance_id = instance_id
        self.policy = policy
        self.epoch = 0
        self.direct_deadline = float("inf")
        self.suspect = False
        self.synchronized = True
        self._clock = clock
        self._packets = packets
        self._peers = peers
        self._recorder = recorder
        self._rng = rng
        self._cfg = cfg or PlacementConfig()
        self._snapshot = Snapshot(version=0)
        self._tables: dict[str, BucketTable] = {}
        self._view = GroupView(version=0)

    def handle_packet(
        self, packet: bytes, *, direction: Direction, hops: int = 0
    ) -> None:
        """Forward a packet, relay it or drop it.

        Args:
            packet: The inner IP packet.
            direction: Direction of the packet inside its flow.
            hops: Number of relays so far.
        """
        try:
            segment = Segment.decode(packet)
        except PacketError:
            self._recorder.record("drop", flow="", reason="malformed")
            return
        if direction is Direction.ANSWER:
            flow = reverse_key(segment.key).hex()
            self._packets.send_to_caller(packet)
            self._recorder.record("answer", flow=flow, segment=_kind(segment))
            return
        flow = segment.key.hex()
        service, server = self._choose(segment.key)
        if server is None:
            reason = "no_server" if service else "no_route"
            self._recorder.record("drop", flow=flow, reason=reason)
            return
        self._packets.send_to_server(server.address, packet)
        self._recorder.record(
            "forward",
            flow=flow,
            service=service,
            server=server.name,
            zone=server.zone,
            config=self._snapshot.version,
            segment=_kind(segment),
            reason="default",
        )

    def direct(self, key: FlowKey) -> Address | None:
        """Return the server address for a mid-flow packet, or None."""
        server = self._choose(key)[1]
        return server.address if server else None

    def apply_history(self, history: Sequence[HistoryEntry]) -> None:
        """Put a history in force, oldest first."""
        self._snapshot = history[-1].snapshot
        self._tables = {
            service: BucketTable(
                service,
                [
                    server
                    for server in pool.servers
                    if not server.drain and server.zone not in self._snapshot.zones_out
                ],
            )
            for service, pool in self._snapshot.pools.items()
        }
        self.epoch += 1

    def apply_view(self, view: GroupView) -> None:
        """Put a group view in force."""
        self._view = view
        self.epoch += 1

    def on_peer_message(self, sender: str, msg: PeerMessage) -> None:
        """Handle a control message of a peer."""

    def fill_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Add log positions and loads to a heartbeat for a peer."""

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Take over log positions and loads from a heartbeat."""

    def on_tick(self) -> None:
        """Do periodic work; called every 100 ms."""

    def begin_leaving(self) -> None:
        """Start handing owned flows to other instances."""

    def explain(self, key: FlowKey) -> Explanation:
        """Tell which server a flow gets and why."""
        service, server = self._choose(key)
        return Explanation(
            service=service,
            server=server.name if server else "",
            zone=server.zone if server else "",
            reason="default" if server else "",
            owner=self.instance_id,
            config_version=self._snapshot.version,
            bucket=flow_hash(key) & BUCKET_MASK,
        )

    def mark_view_suspect(self) -> None:
        """Hold packets until the view is confirmed."""
        self.suspect = True
        self.epoch += 1

    def confirm_view(self) -> None:
        """Trust the view again."""
        self.suspect = False
        self.epoch += 1

    def _choose(self, key: FlowKey) -> tuple[str, BackendServer | None]:
        route = self._snapshot.routes.get(split_key(key)[1])
        if route is None:
            return "", None
        table = self._tables[route.service]
        name = table.winner(flow_hash(key) & BUCKET_MASK)
        pool = self._snapshot.pools[route.service]
        server = next((each for each in pool.servers if each.name == name), None)
        return route.service, server


def _kind(segment: Segment) -> str:
    if segment.flags & RST:
        return "reset"
    if segment.flags & SYN:
        return "open"
    return "payload" if segment.payload else "other"
