"""One instance, assembled from its components without sockets."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from anyio import Event as Signal
from anyio import create_task_group, sleep

from magnoliaslip.config.platform import Platform
from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import MemberState
from magnoliaslip.core.links import PacketLink, PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.dataplane.path import DataPath
from magnoliaslip.instance.health import HealthMonitor, HealthSource
from magnoliaslip.packet.tunnel import GUE_RELAY_FIRST_BYTE
from magnoliaslip.peering.forwarding import ForwardingLink
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.node import PeerNode
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.router import FlowRouter
from magnoliaslip.placement.settings import PlacementConfig

# Interval in seconds of the checks whether to join or stop, and of data path ticks.
POLL_INTERVAL_S = 0.1

logger = getLogger(__name__)


class InstanceNode:
    """Router, data path, store and peers of one instance.

    Args:
        cfg: Checked settings.
        incarnation: Number that increases with every start of the process.
        clock: Source of time.
        packets: Tunnels to backend servers, callers and members.
        peers: Control messages to members.
        platform: The configuration service.
        send: Sends an inner packet to an address; used for cached flows.
        recorder: Receives history records.
        rng: Source of jitter.
        metrics: Receives counters and histograms.
        membership: Members of the group; built from the settings by default.
        health_source: Reads health endpoints; no endpoint is read if None.
        policy: Placement policy, see `FlowRouter`.

    Attributes:
        store: Holds the configuration in force and its history.
        router: Places flows on backend servers.
        path: Handles datagrams; passes those that it can't forward itself to `router`.
        peering: Exchanges control messages with members.
    """

    def __init__(
        self,
        cfg: InstanceSettings,
        *,
        incarnation: int,
        clock: Clock,
        packets: PacketLink,
        peers: PeerLink,
        platform: Platform,
        send: Callable[[bytes, Address], object],
        recorder: Recorder | None = None,
        rng: Random | None = None,
        metrics: Metrics | None = None,
        membership: Membership | None = None,
        health_source: HealthSource | None = None,
        policy: str = "exceptions",
    ) -> None:
        self.cfg = cfg
        self.metrics = metrics or Metrics()
        self._clock = clock
        self._recorder = recorder or NullRecorder()
        self._stop = Signal()
        self.membership = membership or Membership(
            cfg.id,
            cfg.zone,
            incarnation,
            clock=clock,
            allowed_networks=cfg.allowed_networks,
        )
        link = ForwardingLink(peers, self.membership)
        self.store = SnapshotStore(
            clock=clock,
            history_window_s=cfg.history_window_s,
            recorder=self._recorder,
        )
        self.router = FlowRouter(
            cfg.id,
            clock=clock,
            packets=packets,
            peers=link,
            recorder=self._recorder,
            rng=rng or Random(),
            policy=policy,
            cfg=PlacementConfig(
                history_window_s=cfg.history_window_s,
                slow_start_s=cfg.slow_start_s,
                leave_timeout_s=cfg.shutdown_deadline_s,
            ),
            counters=self.metrics.counters,
        )
        self.path = DataPath(
            self.router,
            clock=clock,
            metrics=self.metrics,
            send=send,
            egress=cfg.egress,
            recorder=self._recorder,
        )
        self.peering = PeerNode(
            cfg.id,
            cfg.zone,
            incarnation,
            clock=clock,
            link=link,
            platform=platform,
            store=self.store,
            router=self.router,
            recorder=self._recorder,
            rng=rng or Random(),
            metrics=self.metrics,
            membership=self.membership,
            # Before the first list, the settings are all that is known of the fleet.
            fleet_size=1 + len(cfg.peers),
        )
        self._health_monitor = health_source and HealthMonitor(
            self.router.polled_servers,
            source=health_source,
            clock=clock,
            metrics=self.metrics,
        )
        self.store.subscribe(self._apply_history)

    async def run(self) -> None:
        """Join the group, serve until a stop is requested, then leave it."""
        async with create_task_group() as tasks:
            tasks.start_soon(self.peering.run)
            tasks.start_soon(self._record_ticks)
            if self._health_monitor is not None:
                tasks.start_soon(self._health_monitor.run)
            await self._join()
            await self._stop.wait()
            await self._leave()
            tasks.cancel_scope.cancel()

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        self._stop.set()

    def record_stopped(self) -> None:
        """Record the end of a graceful shutdown, after the last packet."""
        self._recorder.record("state", state="stopped")
        log_event(logger, Event.INSTANCE_STOPPED, id=self.cfg.id)

    def handle_datagram(self, payload: bytes) -> None:
        """Handle a datagram from the fabric, a backend server or a member."""
        if payload and payload[0] == GUE_RELAY_FIRST_BYTE:
            self.path.handle_relay(payload)
        else:
            self.path.handle_batch((payload,))

    def on_peer_message(self, msg: PeerMessage) -> None:
        """Handle a control message from a member."""
        self.peering.on_message(msg)

    def _apply_history(self, history: tuple[HistoryEntry, ...]) -> None:
        # The peer node subscribed first and has already applied it to the router.
        self.path.apply_snapshot(history[-1].snapshot)

    async def _join(self) -> None:
        self._announce(MemberState.JOINING)
        while self.store.snapshot is None and not self._stop.is_set():
            await sleep(POLL_INTERVAL_S)
        while not self.router.exceptions_ready and not self._stop.is_set():
            await sleep(POLL_INTERVAL_S)
        self._announce(MemberState.SERVING)

    async def _leave(self) -> None:
        self._announce(MemberState.LEAVING)
        self.router.begin_leaving()
        self.path.disable_cache()
        while not self.router.may_stop:
            await sleep(POLL_INTERVAL_S)

    def _announce(self, state: MemberState) -> None:
        self.membership.set_state(state)
        self.peering.refresh_view()
        name = state.name.lower()
        self._recorder.record("state", state=name)
        log_event(logger, Event.INSTANCE_STATE, id=self.cfg.id, state=name)

    async def _record_ticks(self) -> None:
        while True:
            self.path.record_tick()
            await sleep(POLL_INTERVAL_S)
