"""Heartbeats, group view and message handling between an instance and its peers."""

from logging import getLogger
from random import Random
from typing import TYPE_CHECKING

import anyio

from magnoliaslip.config.platform import Platform
from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import GroupView, MemberState
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.peering.dissemination import Dissemination
from magnoliaslip.peering.forwarding import ForwardingLink
from magnoliaslip.peering.membership import LIVENESS_TIMEOUT_S, Membership
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.peering.view_confirmation import ViewConfirmation

if TYPE_CHECKING:
    from magnoliaslip.placement.router import FlowRouter

HEARTBEAT_INTERVAL_S = 0.5
# Changes within this time share one extra heartbeat.
MIN_HEARTBEAT_GAP_S = 0.02
TICK_INTERVAL_S = 0.1
REJECTION_LOG_INTERVAL_S = 10.0
# Others remove a member 2 s after its last heartbeat, which it may have sent up to one
# interval before the pause.
REJOIN_AFTER_PAUSE_S = (
    LIVENESS_TIMEOUT_S - HEARTBEAT_INTERVAL_S - 2 * MIN_HEARTBEAT_GAP_S
)
_STATES = frozenset(MemberState)

logger = getLogger(__name__)


class PeerNode:
    """Exchanges heartbeats with the group; maintains the view and the configuration.

    The state of the instance is changed with `set_state`, or through the membership
    followed by `refresh_view`. After a pause in which other members may have become
    owners of its slices, the node itself changes from serving back to joining until the
    router has received the exceptions that were made in the meantime.

    Args:
        instance_id: Identifier of this instance.
        zone: Its availability zone.
        incarnation: Number that rises with every start of the process.
        clock: Source of monotonic time.
        link: Sends to peers. A `ForwardingLink` is used as it is; any other link is
            wrapped in one. The router must send through the same `ForwardingLink`.
        platform: The configuration service.
        store: The configuration in force and its history.
        router: Receives views, histories, heartbeats, messages and ticks.
        recorder: Not used: the store records versions, and `InstanceNode` records
            states. Joining again after a pause is not a start and has no record.
        rng: Source of jitter and random choices.
        metrics: Counters of the process.
        membership: Membership with the seeds and allowed networks of the settings; by
            default one without them. Pass it when the router or the network link
            also needs it.
        fleet_size: Expected number of instances; bounds the rate of platform reads.
    """

    __slots__ = (
        "_clock",
        "_confirmation",
        "_dissemination",
        "_heartbeat_due",
        "_heartbeat_number",
        "_last_rejection_log_at",
        "_metrics",
        "_rejoining",
        "_router",
        "_store",
        "_view",
        "link",
        "membership",
    )

    def __init__(
        self,
        instance_id: str,
        zone: str,
        incarnation: int,
        *,
        clock: Clock,
        link: PeerLink,
        platform: Platform,
        store: SnapshotStore,
        router: "FlowRouter",
        recorder: Recorder,
        rng: Random,
        metrics: Metrics,
        membership: Membership | None = None,
        fleet_size: int = 1,
    ) -> None:
        self.membership = membership or Membership(
            instance_id, zone, incarnation, clock=clock
        )
        if not isinstance(link, ForwardingLink):
            link = ForwardingLink(link, self.membership)
        self.link = link
        self._clock = clock
        self._store = store
        self._router = router
        self._metrics = metrics
        self._dissemination = Dissemination(
            self.membership,
            clock=clock,
            link=self.link,
            platform=platform,
            store=store,
            rng=rng,
            metrics=metrics,
            fleet_size=fleet_size,
            on_instance_list=self._on_instance_list,
        )
        self._confirmation = ViewConfirmation(
            self.membership,
            clock=clock,
            router=router,
            dissemination=self._dissemination,
            on_pause=self._on_pause,
        )
        self._rejoining = False
        self._heartbeat_number = 0
        self._heartbeat_due = anyio.Event()
        self._heartbeat_due.set()  # the first heartbeat is sent at once
        self._last_rejection_log_at = float("-inf")
        self._view = GroupView(0)
        store.subscribe(self._on_history)

    @property
    def view(self) -> GroupView:
        """The group view that was last applied to the router."""
        return self._view

    @property
    def state(self) -> MemberState:
        """The state that this instance announces."""
        return self.membership.state

    async def run(self) -> None:
        """Run until cancelled."""
        if self._store.snapshot is not None:
            self._on_history(self._store.history)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._run_ticks)
            tasks.start_soon(self._confirmation.run)
            tasks.start_soon(self._dissemination.run)

    def check_pause(self) -> None:
        """Start confirming the view if the process was paused since the last call."""
        self._confirmation.check_pause()

    def set_state(self, state: MemberState) -> None:
        """Change the state of this instance and announce it at once."""
        self._rejoining = False
        self.membership.set_state(state)
        self.refresh_view()

    def _on_pause(self, seconds: float) -> None:
        serving = self.membership.state is MemberState.SERVING
        if (
            seconds >= REJOIN_AFTER_PAUSE_S
            and serving
            and self.membership.heartbeat_targets()
        ):
            self._change_state(MemberState.JOINING)
            self._rejoining = True

    def _try_finish_rejoin(self) -> None:
        if self.membership.state is not MemberState.JOINING:
            self._rejoining = False  # the state was set from outside
        elif not self._confirmation.suspect and self._router.exceptions_ready:
            self._change_state(MemberState.SERVING)

    def _change_state(self, state: MemberState) -> None:
        self.set_state(state)
        name = state.name.lower()
        log_event(
            logger, Event.INSTANCE_STATE, id=self.membership.instance_id, state=name
        )

    async def _send_heartbeats(self) -> None:
        while True:
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._heartbeat_due.wait()
            self._heartbeat_due = anyio.Event()
            self._confirmation.check_pause()
            self._send_heartbeats_once()
            await anyio.sleep(MIN_HEARTBEAT_GAP_S)

    def _send_heartbeats_once(self) -> None:
        self._heartbeat_number += 1
        received_directly = self.membership.received_directly()
        snapshot = self._store.snapshot
        for peer in self.membership.heartbeat_targets():
            heartbeat = Heartbeat(
                number=self._heartbeat_number,
                state=int(self.membership.state),
                config_version=snapshot.version if snapshot else 0,
                instances_version=self.membership.list_version,
                heard=received_directly,
            )
            record = self.membership.record(peer)
            if record is not None:
                heartbeat.echo_number = record.heartbeat_number
                heartbeat.echo_incarnation = record.incarnation
                heartbeat.log_applied_incarnation = record.incarnation
            self._router.fill_heartbeat(peer, heartbeat)
            self.link.send(peer, PeerMessage(heartbeat=heartbeat))

    async def _run_ticks(self) -> None:
        while True:
            self.refresh_view()
            self._confirmation.check_idle()
            if self._rejoining:
                self._try_finish_rejoin()
            self._router.on_tick()
            await anyio.sleep(TICK_INTERVAL_S)

    def _on_history(self, history: tuple[HistoryEntry, ...]) -> None:
        self._router.apply_history(history)
        self._heartbeat_due.set()

    def _on_instance_list(self) -> None:
        self.refresh_view()
        self._heartbeat_due.set()

    def refresh_view(self) -> None:
        """Apply the group view to the router if it changed."""
        self._confirmation.check_pause()
        view = self.membership.view()
        if view is self._view:
            return
        own_id = self.membership.instance_id
        if self._view.members.get(own_id) != view.members[own_id]:
            self._heartbeat_due.set()
        self._view = view
        self._router.apply_view(view)

    def on_message(self, msg: PeerMessage) -> None:
        """Handle a message from the link, or forward it to its addressee.

        A message is forwarded at most once: the forwarding member sends it directly.
        """
        self._confirmation.check_pause()
        if not self.membership.accepts_sender(msg.sender):
            self._reject(msg, "the sender is not a member")
        elif msg.forward_to and msg.forward_to != self.membership.instance_id:
            if self.membership.entry(msg.forward_to) is None:
                self._reject(msg, "the addressee is not a member")
            else:
                self._metrics.counters["peer_messages_passed_on"] += 1
                self.link.forward(msg)
        elif not self.membership.accepts_incarnation(msg.sender, msg.incarnation):
            self._metrics.counters["peer_messages_of_former_incarnations"] += 1
        else:
            self._handle(msg)

    def _handle(self, msg: PeerMessage) -> None:
        match msg.WhichOneof("body"):
            case "heartbeat":
                self._on_heartbeat(msg)
            case "config_request":
                # While the view is suspect, the configuration may be outdated as well.
                if not self._confirmation.suspect:
                    self._dissemination.on_config_request(
                        msg.sender, msg.config_request
                    )
            case "config_piece":
                self._dissemination.peer_feed.on_piece(msg.sender, msg.config_piece)
            case None:
                self._reject(msg, "the message has no known body")
            case _:
                self._router.on_peer_message(msg.sender, msg)

    def _on_heartbeat(self, msg: PeerMessage) -> None:
        heartbeat = msg.heartbeat
        if heartbeat.state not in _STATES:
            self._reject(msg, "the heartbeat has an unknown state")
            return
        if not self.membership.on_heartbeat(
            msg.sender,
            msg.incarnation,
            number=heartbeat.number,
            state=MemberState(heartbeat.state),
            receives_from=heartbeat.heard,
            config_version=heartbeat.config_version,
            instances_version=heartbeat.instances_version,
            direct=not msg.forward_to,
        ):
            return
        # Clear numbers that refer to a former incarnation of this instance.
        if heartbeat.echo_incarnation != self.membership.incarnation:
            heartbeat.echo_number = 0
        if heartbeat.log_applied_incarnation != self.membership.incarnation:
            heartbeat.log_applied = 0
        self.refresh_view()
        self._router.on_heartbeat(msg.sender, heartbeat)
        self._dissemination.peer_feed.on_advertised_versions(msg.sender)

    def _reject(self, msg: PeerMessage, reason: str) -> None:
        self._metrics.counters["peer_messages_rejected"] += 1
        now = self._clock.monotonic()
        if now - self._last_rejection_log_at > REJECTION_LOG_INTERVAL_S:
            self._last_rejection_log_at = now
            log_event(
                logger, Event.PEER_REJECTED, peer=repr(msg.sender), reason=repr(reason)
            )
