"""A group of nodes in virtual time over an unreliable in-memory network."""

import json
from asyncio import SelectorEventLoop, get_running_loop
from collections import Counter
from random import Random
from selectors import SelectSelector

import anyio

from magnoliaslip.config.platform import Platform, PlatformValue
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.group import MemberState
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.node import PeerNode
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage


class _VirtualSelector(SelectSelector):
    now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(SelectorEventLoop):
    def __init__(self):
        self.virtual = _VirtualSelector()
        super().__init__(self.virtual)
        self._clock_resolution = 1e-9

    def time(self):
        return self.virtual.now


class LoopClock(Clock):
    def monotonic(self):
        return get_running_loop().time()

    def wall(self):
        return 1.7e9 + self.monotonic()


def run_virtual(test):
    """Run an async function to its end in virtual time."""
    return anyio.run(test, backend_options={"loop_factory": VirtualLoop})


class FakeRouter:
    def __init__(self):
        self.views, self.histories, self.heartbeats = [], [], []
        self.suspect_at, self.confirmed_at, self.ticks = [], [], 0
        self.suspect = self.exceptions_ready = False

    def apply_view(self, view):
        self.views.append(view)

    def apply_history(self, history):
        self.histories.append([entry.snapshot.version for entry in history])

    def fill_heartbeat(self, peer, heartbeat):
        heartbeat.log_applied = 5

    def on_heartbeat(self, peer, heartbeat):
        self.heartbeats.append((peer, heartbeat))

    def on_peer_message(self, sender, msg):
        raise AssertionError(f"unexpected message from {sender}")

    def on_tick(self):
        self.ticks += 1

    def mark_view_suspect(self):
        self.suspect = True
        self.suspect_at.append(get_running_loop().time())

    def confirm_view(self):
        self.suspect = False
        self.confirmed_at.append(get_running_loop().time())


class FakePlatform(Platform):
    def __init__(self):
        self.values, self.reads, self.watches = {}, Counter(), Counter()
        self.down = self.silent = False
        self.changed = anyio.Event()

    def publish(self, key, data):
        index = self.values[key].index + 1 if key in self.values else 1
        self.values[key] = PlatformValue(key, data, index)
        self.changed.set()
        self.changed = anyio.Event()

    def publish_zones(self, version, **zones):
        table = json.dumps({"version": version, "zones": zones}).encode()
        self.publish("zones", table)
        index = {"version": version, "values": {"zones": version}}
        self.publish("index", json.dumps(index).encode())

    async def read(self, key):
        self.reads[key] += 1
        if self.down:
            await anyio.sleep(2)
            raise PlatformError("down")
        await anyio.sleep(0.002)
        return self.values.get(key)

    async def watch(self, key, *, after, deadline):
        self.watches[key] += 1
        if self.silent:
            await anyio.sleep(3600)
        if self.down:
            await anyio.sleep(0.5)
            raise PlatformError("down")
        while key not in self.values or self.values[key].index <= after:
            with anyio.move_on_after(deadline - get_running_loop().time()) as scope:
                await self.changed.wait()
            if scope.cancelled_caught:
                return None
        return self.values[key]


class Network:
    """Delivers serialized messages; loses, repeats and reorders some of them."""

    def __init__(self, seed=1, *, loss=0.0, repeat=0.0, jitter=0.0):
        self.rng = Random(seed)
        self.loss, self.repeat, self.jitter = loss, repeat, jitter
        self.nodes, self.cuts, self.sent_bytes = {}, set(), Counter()
        self.largest = 0

    def deliver(self, sender, receiver, data):
        self.sent_bytes[sender] += len(data)
        self.largest = max(self.largest, len(data))
        for _ in range(1 + (self.rng.random() < self.repeat)):
            if self.rng.random() >= self.loss:
                delay = 0.003 + self.rng.random() * self.jitter
                get_running_loop().call_later(
                    delay, self._arrive, sender, receiver, data
                )

    def _arrive(self, sender, receiver, data):
        if receiver in self.nodes and (sender, receiver) not in self.cuts:
            self.nodes[receiver].on_message(PeerMessage.FromString(data))

    def pause_all(self, seconds):
        """Let time pass in which no process runs."""
        get_running_loop().virtual.now += seconds

    def cut(self, *names, others):
        pairs = {(a, b) for a in names for b in others}
        self.cuts |= pairs | {(b, a) for a, b in pairs}


class _Link(PeerLink):
    def __init__(self, name, network):
        self.name, self.network = name, network

    def send(self, instance_id, msg):
        self.network.deliver(self.name, instance_id, msg.SerializeToString())


class Group:
    """Instances i1, i2, ... spread over zones a, b, ..."""

    def __init__(self, tasks, count=3, zones=3, network=None):
        self.tasks, self.network = tasks, network or Network()
        self.platform = FakePlatform()
        self.names = [f"i{number}" for number in range(1, count + 1)]
        self.zone_of = {n: "abcd"[i % zones] for i, n in enumerate(self.names)}
        self.nodes, self.scopes = {}, {}
        self.routers, self.stores, self.metrics = {}, {}, {}

    def list_entries(self, names):
        return [
            {
                "id": name,
                "zone": self.zone_of[name],
                "data": f"10.0.0.{name[1:]}:7000",
                "control": f"10.0.0.{name[1:]}:7100",
                "state": "live",
            }
            for name in names
        ]

    def publish_instances(self, version, names=None):
        lines = self.list_entries(names or self.names)
        value = {"version": version, "instances": lines}
        self.platform.publish("instances", json.dumps(value).encode())

    def start(self, name, *, platform=None, seeds=(), incarnation=1):
        clock, metrics = LoopClock(), Metrics()
        router, store = FakeRouter(), SnapshotStore(clock=clock)
        zone = self.zone_of[name]
        node = PeerNode(
            name,
            zone,
            incarnation,
            clock=clock,
            link=_Link(name, self.network),
            platform=platform or self.platform,
            store=store,
            router=router,
            recorder=NullRecorder(),
            rng=Random(name),
            metrics=metrics,
            membership=Membership(name, zone, incarnation, clock=clock, seeds=seeds),
        )
        node.set_state(MemberState.SERVING)
        self.nodes[name] = self.network.nodes[name] = node
        self.routers[name], self.stores[name] = router, store
        self.metrics[name] = metrics
        self.scopes[name] = anyio.CancelScope()
        self.tasks.start_soon(self._run, node, self.scopes[name])
        return node

    async def _run(self, node, scope):
        with scope:
            await node.run()

    def kill(self, name):
        self.scopes[name].cancel()
        del self.network.nodes[name]

    async def start_all(self):
        self.publish_instances(1)
        self.platform.publish_zones(1, a="in", b="in", c="in")
        for name in self.names:
            self.start(name)
        await anyio.sleep(5)

    def versions(self):
        return {
            name: self.stores[name].version
            for name in self.names
            if name in self.network.nodes
        }
