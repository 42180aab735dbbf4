"""A group of nodes in virtual time over the simulated network of `proof`."""

from asyncio import get_running_loop
from collections import Counter
from random import Random

import anyio
from msgspec.json import encode

from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.group import MemberState
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.node import PeerNode
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.proof.network import PLATFORM, LinkQuality, Network
from magnoliaslip.proof.sim_links import SimPeerLink
from magnoliaslip.proof.sim_platform import SimPlatform, SimPlatformClient
from magnoliaslip.proof.virtual_loop import (
    SimProcess,
    VirtualClock,
    VirtualEventLoop,
)


def in_group(**options):
    """Run a test in virtual time with a group that has run for 5 s."""

    def decorate(test):
        async def main():
            async with anyio.create_task_group() as tasks:
                group = Group(tasks, **options)
                await group.start_all()
                await test(group)
                tasks.cancel_scope.cancel()

        def run():
            anyio.run(main, backend_options={"loop_factory": VirtualEventLoop})

        run.__name__ = test.__name__
        return run

    return decorate


async def wait_for(condition, timeout):
    """Wait until a condition holds and return the elapsed time in seconds."""
    start = anyio.current_time()
    while not condition():
        assert anyio.current_time() - start < timeout, (
            "the condition did not hold in time"
        )
        await anyio.sleep(0.01)
    return anyio.current_time() - start


class FakeRouter:
    def __init__(self):
        self.views, self.histories, self.heartbeats = [], [], []
        self.suspect_at, self.confirmed_at = [], []
        self.suspect = self.exceptions_ready = False

    def apply_view(self, view):
        self.views.append(view)

    def apply_history(self, history):
        self.histories.append([entry.snapshot.version for entry in history])

    def fill_heartbeat(self, peer, heartbeat):
        heartbeat.log_applied = 5

    def on_heartbeat(self, peer, heartbeat, **_):
        self.heartbeats.append((peer, heartbeat))

    def on_tick(self):
        pass

    def mark_view_suspect(self, *, paused=False):
        self.suspect = True
        self.suspect_at.append(anyio.current_time())

    def confirm_view(self):
        self.suspect = False
        self.confirmed_at.append(anyio.current_time())


class Instance:
    """A peer node with a simulated process, store, platform client and fake router."""

    def __init__(self, group, name, *, incarnation=1, seeds=()):
        clock, zone = VirtualClock(), group.zone_of[name]
        self.process, self.scope = SimProcess(name), anyio.CancelScope()
        group.network.add(name, zone, self.process)
        self.router, self.metrics = FakeRouter(), Metrics()
        self.store = SnapshotStore(clock=clock)
        self.client = SimPlatformClient(name, group.network, group.platform)
        self.membership = Membership(name, zone, incarnation, clock=clock, seeds=seeds)
        self.node = PeerNode(
            name,
            zone,
            incarnation,
            clock=clock,
            link=SimPeerLink(
                name, group.network, group.message_handlers, group.sent_bytes
            ),
            platform=self.client,
            store=self.store,
            router=self.router,
            recorder=NullRecorder(),
            rng=Random(name),
            metrics=self.metrics,
            membership=self.membership,
        )
        self.node.set_state(MemberState.SERVING)

    async def run(self):
        with self.scope:
            await self.node.run()

    def receive(self, data):
        self.node.on_message(PeerMessage.FromString(data))


class Group:
    """Instances i1, i2, ..., assigned in turn to zones a, b, ..."""

    def __init__(self, tasks, count=3, zones=3, seed=1, **quality):
        loop = get_running_loop()
        self.tasks, self.rng = tasks, Random(seed)
        self.network = Network(
            loop, Random(seed), zone_delay_s=0.003, caller_delay_s=0.001
        )
        self.network.set_quality(LinkQuality(**quality))
        self.network.add(PLATFORM)
        self.platform = SimPlatform(loop, Random(seed))
        self.sent_bytes, self.message_handlers, self.largest_message_bytes = (
            Counter(),
            {},
            0,
        )
        self.names = [f"i{number}" for number in range(1, count + 1)]
        self.zone_of = {n: "abcd"[i % zones] for i, n in enumerate(self.names)}
        self.instances = {}

    def __getitem__(self, name):
        return self.instances[name]

    def publish_zones(self, version, **zones):
        index = {"version": version, "values": {"zones": version}}
        table = {"version": version, "zones": zones}
        self.platform.publish({"zones": encode(table), "index": encode(index)})

    def instance_list(self, version, names=None):
        entries = [
            {
                "id": name,
                "zone": self.zone_of[name],
                "data": f"10.0.0.{name[1:]}:7000",
                "control": f"10.0.0.{name[1:]}:7100",
            }
            for name in names or self.names
        ]
        return encode({"version": version, "instances": entries})

    def start(self, name, **options):
        instance = self.instances[name] = Instance(self, name, **options)
        self.message_handlers[name] = lambda data: self._deliver(instance, data)
        instance.process.context.run(self.tasks.start_soon, instance.run)
        return instance

    def _deliver(self, instance, data):
        self.largest_message_bytes = max(self.largest_message_bytes, len(data))
        instance.receive(data)

    def kill(self, name):
        instance = self.instances.pop(name)
        instance.process.ended = True
        instance.scope.cancel()
        self.network.remove(name)
        return instance

    async def start_all(self):
        self.platform.publish({"instances": self.instance_list(1)})
        self.publish_zones(1, a="in", b="in", c="in")
        for name in self.names:
            self.start(name)
        await anyio.sleep(5)

    def partition(self, *names, others):
        for name in names:
            for other in others:
                self.network.partition(name, other)

    def views(self):
        return {name: instance.node.view for name, instance in self.instances.items()}

    def versions(self):
        return {instance.store.version for instance in self.instances.values()}
