"""Hosts for the callers, backend servers and instances of a simulated deployment."""

from asyncio import TimerHandle
from collections import Counter
from collections.abc import Callable
from contextvars import copy_context
from random import Random
from typing import Protocol

from anyio import CancelScope
from anyio.abc import TaskGroup

from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.address import Address
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.instance.node import InstanceNode
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.proof.history import HistoryRecorder
from magnoliaslip.proof.network import Network
from magnoliaslip.proof.sim_links import Receivers, SimPacketLink, SimPeerLink
from magnoliaslip.proof.sim_platform import SimPlatform, SimPlatformClient
from magnoliaslip.proof.virtual_loop import ProcessClock, SimProcess, VirtualEventLoop


class EndpointModel(Protocol):
    """A model of a caller or backend server, driven by packets and deadlines."""

    @property
    def next_deadline(self) -> float | None:
        """Time of the next call of `poll`, in seconds; None if none is needed."""

    def on_packet(self, packet: bytes) -> None:
        """Handle an inner packet."""

    def poll(self, now: float) -> None:
        """Run the actions that are due."""


class ModelHost:
    """Passes packets to a model and polls it at its deadlines.

    Args:
        loop: The virtual event loop.
        model: A caller or a backend server.
    """

    __slots__ = ("_context", "_loop", "_poll_at", "_timer", "model")

    def __init__(self, loop: VirtualEventLoop, model: EndpointModel) -> None:
        self.model = model
        self._loop = loop
        self._timer: TimerHandle | None = None
        self._poll_at = 0.0
        self._context = copy_context()
        self.schedule_poll()

    def receive(self, packet: bytes) -> None:
        """Handle a packet from the network."""
        self.model.on_packet(packet)
        self.schedule_poll()

    def schedule_poll(self) -> None:
        """Set the timer for the next deadline; call it after other use of the model."""
        deadline = self.model.next_deadline
        if deadline is None or (self._timer is not None and self._poll_at <= deadline):
            return  # polling the model early has no effect
        if self._timer is not None:
            self._timer.cancel()
        self._poll_at = max(deadline, self._loop.time())
        self._timer = self._loop.call_at(
            self._poll_at, self._poll_model, context=self._context
        )

    def _poll_model(self) -> None:
        self._timer = None
        self.model.poll(max(self._poll_at, self._loop.time()))
        self.schedule_poll()


class SimInstance:
    """An instance: an `InstanceNode` in a simulated process.

    Args:
        cfg: Settings of the instance.
        incarnation: Number that increases with each start.
        network: The simulated network.
        receivers: The receive handlers of all nodes.
        platform: The simulated platform.
        recorder: Recorder for the actions of this process.
        seed: Seed of the random source of the instance.
        policy: Placement policy.
        control_bytes: Counts the bytes of control messages that each instance sends.

    Attributes:
        sent: Number of packets sent, by kind; see `SimPacketLink`.
    """

    def __init__(
        self,
        cfg: InstanceSettings,
        *,
        incarnation: int,
        network: Network,
        receivers: Receivers,
        platform: SimPlatform,
        recorder: HistoryRecorder,
        seed: int,
        policy: str,
        control_bytes: Counter[str],
    ) -> None:
        self.id = cfg.id
        self.incarnation = incarnation
        self.process = SimProcess(cfg.id)
        self.clock = ProcessClock(network.loop)
        self.sent: Counter[str] = Counter()
        self.metrics = Metrics()
        self.recorder = recorder
        self._scope: CancelScope | None = None
        self.platform_client = SimPlatformClient(cfg.id, network, platform)
        self._packets = SimPacketLink(cfg.id, network, receivers, self.sent)
        self._egress = cfg.egress
        network.add(cfg.id, cfg.zone, self.process)
        self.node: InstanceNode = self.process.context.run(
            InstanceNode,
            cfg,
            incarnation=incarnation,
            clock=self.clock,
            packets=self._packets,
            peers=SimPeerLink(
                cfg.id, network, receivers.message_handlers, control_bytes
            ),
            platform=self.platform_client,
            send=self._send,
            recorder=recorder,
            rng=Random(seed),
            metrics=self.metrics,
            membership=Membership(
                cfg.id,
                cfg.zone,
                incarnation,
                clock=self.clock,
                seeds=cfg.peers,
                allowed_networks=cfg.allowed_networks,
            ),
            policy=policy,
        )
        receivers.datagram_handlers[cfg.id] = self._receive
        receivers.message_handlers[cfg.id] = self._receive_message

    def start(
        self, tasks: TaskGroup, on_stopped: Callable[["SimInstance"], None]
    ) -> None:
        """Run the node in the context of its process.

        Args:
            tasks: Task group of the world.
            on_stopped: Called when the node has stopped by itself.
        """
        self.process.context.run(tasks.start_soon, self._run, on_stopped)

    def kill(self) -> None:
        """Kill the process; it sends and records nothing from now on."""
        self.process.ended = True
        self.recorder.muted = True
        self.process.resume()
        if self._scope is not None:
            self._scope.cancel()

    def _send(self, packet: bytes, address: Address) -> None:
        if address == self._egress:
            self._packets.send_to_caller(packet)
        else:
            self._packets.send_to_server(address, packet)

    def _receive(self, payload: bytes) -> None:
        if not self.process.ended:
            self.node.handle_datagram(payload)

    def _receive_message(self, data: bytes) -> None:
        if not self.process.ended:
            self.node.on_peer_message(PeerMessage.FromString(data))

    async def _run(self, on_stopped: Callable[["SimInstance"], None]) -> None:
        with CancelScope() as self._scope:
            if not self.process.ended:
                await self.node.run()
                self.node.record_stopped()
        if not self.process.ended:
            self.process.ended = True
            on_stopped(self)
