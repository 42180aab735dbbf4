"""The router, which chooses the backend server of each packet."""

from collections import Counter
from collections.abc import Sequence
from logging import getLogger
from random import Random

from xxhash import xxh3_64_intdigest

from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.group import GroupView
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.packet.flow_key import FlowKey
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.placement.base_window import BaseWindow
from magnoliaslip.placement.bucket_table import BUCKET_MASK, NO_SERVER
from magnoliaslip.placement.configuration_applier import ConfigurationApplier
from magnoliaslip.placement.direct_paths import DirectPaths
from magnoliaslip.placement.dispatcher import Dispatcher
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.explanation import Explanation, explain
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.forwarder import Forwarder
from magnoliaslip.placement.handover import Handover
from magnoliaslip.placement.load import InFlightObserver
from magnoliaslip.placement.owner import Owner
from magnoliaslip.placement.peer_exchange import PeerExchange
from magnoliaslip.placement.polled_servers import PolledServers
from magnoliaslip.placement.settings import PlacementConfig
from magnoliaslip.placement.slices import owning_members
from magnoliaslip.placement.state import POLICIES, PlacementState
from magnoliaslip.placement.status import RouterStatus, server_statuses
from magnoliaslip.placement.suspect_queue import SuspectQueue

_logger = getLogger(__name__)


class FlowRouter:
    """Chooses backend servers and forwards packets; synchronous.

    Args:
        instance_id: Identifier of this instance.
        clock: Source of monotonic time.
        packets: Sends packets to backend servers, callers and other instances.
        peers: Sends control messages.
        recorder: Receives the history records, see section 9.1 of ``docs/design.md``.
        rng: Random source for jitter and samples.
        policy: ``exceptions``, ``owner``, ``replicated`` or ``stateless``.
        cfg: Limits and durations; the defaults when None.
        counters: Counts drops and other events by name; created when None.
        observer: Counts requests in flight; None when nothing does.

    Attributes:
        instance_id: Identifier of this instance.
        policy: The policy in use.
        polled_servers: Lists the servers to poll and applies their uptimes.

    Raises:
        ValueError: The policy is unknown.
    """

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
        counters: Counter[str] | None = None,
        observer: InFlightObserver | None = None,
    ) -> None:
        if policy not in POLICIES:
            raise ValueError(f"policy {policy!r} is not one of {', '.join(POLICIES)}")
        self.instance_id = instance_id
        self.policy = policy
        self._state = state = PlacementState(
            instance_id,
            clock=clock,
            packets=packets,
            peers=peers,
            recorder=recorder,
            rng=rng,
            policy=policy,
            cfg=cfg or PlacementConfig(),
            counters=Counter() if counters is None else counters,
            observer=observer,
        )
        self._forwarder = Forwarder(state)
        self._exceptions = ExceptionStore(state)
        self._handover = Handover(state, self._exceptions)
        self._window = BaseWindow(state, self._exceptions)
        self._exchange = PeerExchange(
            state, self._exceptions, self._handover, self._window
        )
        self._configuration = ConfigurationApplier(
            state, self._exceptions, self._window
        )
        self._owner = Owner(state, self._forwarder, self._exceptions)
        self._direct = DirectPaths(state, self._exceptions)
        self._dispatcher = Dispatcher(
            state, self._forwarder, self._owner, self._direct, self._handover
        )
        self._queue = SuspectQueue()
        self.polled_servers = PolledServers(state)

    @property
    def direct_generation(self) -> int:
        """Increases whenever an earlier result of `direct` may be invalid."""
        return self._state.direct_generation

    @property
    def direct_deadline(self) -> float:
        """Monotonic time until which results of `direct` are valid in this generation.

        It advances with each heartbeat without a change of `direct_generation`, so a
        cache must read it for each batch of packets. 0 when no result may be cached.
        """
        return self._direct.deadline

    @property
    def suspect(self) -> bool:
        """Whether the view is suspect, so that packets are held."""
        return self._state.suspect

    @property
    def exceptions_ready(self) -> bool:
        """Whether a joining instance has received its exceptions or waited 3 s."""
        return self._handover.exceptions_ready(self._state.now())

    @property
    def may_stop(self) -> bool:
        """Whether a leaving instance is no longer needed, or its deadline passed."""
        return self._handover.may_stop(self._state.now())

    @property
    def flow_records_held(self) -> int:
        """Number of flow records held, exceptions and replicas included."""
        return self._state.records.count

    @property
    def exceptions_held(self) -> int:
        """Number of exceptions held as owner or replica."""
        return self._exceptions.buckets.count

    def handle_packet(
        self, packet: bytes, *, direction: Direction, hops: int = 0
    ) -> None:
        """Forward, relay, hold or drop a packet.

        Args:
            packet: The inner IP packet.
            direction: Direction of the packet inside its flow.
            hops: Number of times the packet was relayed so far.
        """
        state = self._state
        if state.suspect and self._hold(packet, direction, hops):
            return
        try:
            parsed = FlowPacket(packet, direction, hops)
        except PacketError:
            self._forwarder.drop(None, "malformed")
            return
        self._dispatcher.handle(parsed)

    def direct(self, key: FlowKey) -> Address | None:
        """Return the server to which a mid-flow packet may be sent without its owner.

        The result is valid until `direct_generation` changes or the monotonic time
        `direct_deadline` passes, whichever comes first. SYN, FIN and RST always go
        through `handle_packet`, and so does every packet for which the result is None.

        Args:
            key: Flow key in request direction.
        """
        state = self._state
        service = state.routes.get(key[4:8] + key[10:12])
        if service is None or state.suspect:
            return None
        key_hash = xxh3_64_intdigest(key)  # as `flow_hash`, without its call
        bucket = key_hash & BUCKET_MASK
        if self.policy == "stateless":
            number = service.epochs.current_default(bucket)
            return None if number == NO_SERVER else service.servers[number].address
        if self.policy != "exceptions":
            return None
        number = self._direct.default_server(key, service, bucket)
        if number is not None:
            return service.servers[number].address
        return self._direct.recorded_address(key, key_hash, service, bucket)

    def apply_history(self, history: Sequence[HistoryEntry]) -> None:
        """Apply a history of snapshots.

        Args:
            history: Snapshots, oldest first; the last one is in force. It should
                reach back ``history_window_s + direct_grace_s`` and 60 s more, so that
                a joining instance has the base versions of its peers.
        """
        state = self._state
        now = state.now()
        if not self._configuration.apply(history, now):
            return
        self._update_slices(now)
        self._update_member_versions()
        state.direct_generation += 1
        if state.recorder is not None:
            state.recorder.record(
                "config",
                version=state.snapshot.version,
                zones_out=sorted(state.snapshot.zones_out),
            )

    def apply_view(self, view: GroupView) -> None:
        """Apply a group view; this instance is one of its members."""
        state = self._state
        now = state.now()
        state.set_view(view)
        self._update_slices(now)
        self._exchange.on_view_changed(now)
        self._handover.on_view_changed(view, now)
        self._update_member_versions()
        state.direct_generation += 1
        self._direct.refresh(now)

    def on_peer_message(self, sender: str, msg: PeerMessage) -> None:
        """Handle a control message of a peer.

        Args:
            sender: Identifier of the peer that wrote the message.
            msg: The message, with the incarnation of the sender. A heartbeat may
                be passed here or to `on_heartbeat`.
        """
        state = self._state
        now = state.now()
        if msg.WhichOneof("body") == "heartbeat":
            self.on_heartbeat(sender, msg.heartbeat, incarnation=msg.incarnation)
            return
        if self._exchange.on_message(sender, msg, now):
            state.direct_generation += 1
        self._direct.refresh(now)
        self._owner.placer.release_held(now)

    def fill_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Add log positions, base version and loads to a heartbeat.

        Args:
            peer: The recipient.
            heartbeat: Its ``number`` must be set; the same number must not be
                used twice for one recipient.
        """
        self._exchange.fill_heartbeat(peer, heartbeat, self._state.now())

    def on_heartbeat(
        self, peer: str, heartbeat: Heartbeat, *, incarnation: int | None = None
    ) -> None:
        """Apply a heartbeat of a peer.

        Args:
            peer: The sender.
            heartbeat: The heartbeat.
            incarnation: Incarnation of the sender; that of the view when None.
        """
        state = self._state
        now = state.now()
        if incarnation is None:
            member = state.view.members.get(peer)
            incarnation = member.incarnation if member else 0
        state.last_received_at[peer] = now
        former = self._exchange.reported_versions.get(peer)
        self._exchange.on_heartbeat(peer, heartbeat, incarnation, now)
        if self._exchange.reported_versions.get(peer) != former:
            self._update_member_versions()
        self._direct.refresh(now)
        self._owner.placer.release_held(now)

    def on_tick(self) -> None:
        """Run periodic tasks; called every 100 ms."""
        state = self._state
        now = state.now()
        if state.suspect and now >= self._queue.deadline:
            self.confirm_view()
        state.certificates.expire(now)
        self._owner.tick(now)
        if self._window.tick(now):
            self._update_member_versions()
            state.direct_generation += 1
        self._exceptions.buckets.tick(now)
        self._handover.tick(now)
        self._exchange.tick(now)
        self._direct.refresh(now)

    def begin_leaving(self) -> None:
        """Stop owning slices, and hand over exceptions and young flows."""
        state = self._state
        if not state.leaving:
            state.leaving = True
            now = state.now()
            self._update_slices(now)
            self._handover.begin_leaving(now)
            state.direct_generation += 1

    def explain(self, key: FlowKey) -> Explanation:
        """Explain which server the flow's record names or a new flow prefers."""
        return explain(self._state, self._exceptions, key)

    def status(self) -> RouterStatus:
        """Return the counts of flows and exceptions, and the state of servers."""
        servers = tuple(server_statuses(self._state))
        return RouterStatus(self.flow_records_held, self.exceptions_held, servers)

    def mark_view_suspect(self, *, paused: bool = False) -> None:
        """Hold packets until `confirm_view`, for at most 500 ms, or 2 s after a pause.

        Called after a pause of the process, or when neither the peers nor the platform
        are reachable. All certificates become invalid.

        Args:
            paused: Whether the process was paused.
        """
        state = self._state
        now = state.now()
        if paused or not state.suspect:
            state.suspect = True
            self._queue.start(now, paused=paused)
        state.certificates.invalidate_leases()
        self._owner.placer.mark_held_assumed()
        state.direct_generation += 1
        self._direct.refresh(now)

    def confirm_view(self) -> None:
        """End the suspect state of the view and handle the held packets.

        Held SYNs are not placed: they may have been sent before the pause, and another
        instance may have placed their flows. Callers retransmit them.
        """
        state = self._state
        if not state.suspect:
            return
        state.suspect = False
        state.direct_generation += 1
        # Another instance may have owned the slices in the meantime.
        for service in state.services:
            service.slices.restart_settling(state.now())
        self._direct.refresh(state.now())
        self._owner.placer.release_held(state.now())
        held = self._queue.pop_all()
        state.handling_held_packets = True
        for packet, direction, hops in held:
            self.handle_packet(packet, direction=direction, hops=hops)
        state.handling_held_packets = False

    def _hold(self, packet: bytes, direction: Direction, hops: int) -> bool:
        """Queue or drop a packet; past the deadline confirm the view, return False."""
        if self._state.now() >= self._queue.deadline:
            self.confirm_view()
            return False
        if not self._queue.add(packet, direction, hops):
            self._forwarder.drop(None, "suspect_queue_full")
        return True

    def _update_slices(self, now: float) -> None:
        state = self._state
        members = [
            member
            for member in owning_members(state.view, state.snapshot.zones_out)
            if not (state.leaving and member.id == self.instance_id)
        ]
        for service in state.services:
            former = service.apply_members(members, now)
            if former is not None:
                self._handover.on_slices_changed(service, former, now)

    def _update_member_versions(self) -> None:
        state = self._state
        versions = set(self._exchange.reported_versions.values())
        own = state.snapshot.version
        state.config_outdated = any(version > own for version, _ in versions)
        for service in state.services:
            if service.epochs.epochs and service.apply_versions(versions, own):
                self._window.review(service)
                state.direct_generation += 1
