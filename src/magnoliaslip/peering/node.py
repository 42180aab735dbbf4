"""The part of an instance that talks to its peers."""

from random import Random

import anyio

from magnoliaslip.config.platform import Platform
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.group import GroupView, MemberState
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.peering.forwarding import ForwardingLink
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage

HEARTBEAT_S = 0.5
TICK_S = 0.1


class PeerNode:
    """Exchanges heartbeats with the members of the group and keeps the view."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        incarnation: int,
        *,
        clock: Clock,
        link: PeerLink,
        platform: Platform,
        store,  # noqa: ANN001
        router,  # noqa: ANN001
        recorder: Recorder,
        rng: Random,
        metrics: Metrics,
        membership: Membership | None = None,
    ) -> None:
        self.membership = membership or Membership(
            instance_id, zone, incarnation, clock=clock
        )
        self.link = ForwardingLink(link, self.membership)
        self._clock = clock
        self._platform = platform
        self._store = store
        self._router = router
        self._recorder = recorder
        self._rng = rng
        self._metrics = metrics
        self._number = 0
        self._view = GroupView(0)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._tick)

    async def _send_heartbeats(self) -> None:
        while True:
            self._heartbeat_all()
            await anyio.sleep(HEARTBEAT_S)

    def _heartbeat_all(self) -> None:
        self._number += 1
        heard = self.membership.heard_directly()
        for peer in self.membership.targets():
            heartbeat = Heartbeat(
                number=self._number, state=int(self.membership.state), heard=heard
            )
            record = self.membership.record(peer)
            if record is not None:
                heartbeat.echo_number = record.number
                heartbeat.echo_incarnation = record.incarnation
                heartbeat.log_applied_incarnation = record.incarnation
            self._router.fill_heartbeat(peer, heartbeat)
            self.link.send(peer, PeerMessage(heartbeat=heartbeat))

    async def _tick(self) -> None:
        while True:
            self.refresh_view()
            self._router.on_tick()
            await anyio.sleep(TICK_S)

    def refresh_view(self) -> None:
        """Apply the group view to the router if it changed."""
        view = self.membership.view()
        if view is not self._view:
            self._view = view
            self._router.apply_view(view)

    def on_message(self, msg: PeerMessage) -> None:
        """Handle a message from the link."""
        if msg.forward_to and msg.forward_to != self.membership.instance_id:
            self.link.pass_on(msg)
            return
        if msg.WhichOneof("body") != "heartbeat":
            self._router.on_peer_message(msg.sender, msg)
            return
        heartbeat = msg.heartbeat
        if self.membership.on_heartbeat(
            msg.sender,
            msg.incarnation,
            number=heartbeat.number,
            state=MemberState(heartbeat.state),
            heard=heartbeat.heard,
            direct=not msg.forward_to,
        ):
            self.refresh_view()
            self._router.on_heartbeat(msg.sender, heartbeat)
