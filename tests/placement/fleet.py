"""Several routers connected by in-memory links, with simulated servers."""

from collections import deque
from random import Random

from magnoliaslip.config.snapshot import (
    BackendServer,
    HistoryEntry,
    Pool,
    Route,
    Snapshot,
)
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.packet.flow_key import ACK, PSH, RST, SYN, make_key, reverse_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.placement.bucket_table import BUCKET_MASK
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.router import FlowRouter

SERVICE = Address("198.51.100.10", 443)
ZONES = "abcd"


def make_pool(count, *, slots=4, version=1, drain=(), first=1):
    return Pool(
        "rota",
        version,
        tuple(
            BackendServer(
                f"s{n}",
                Address("127.0.0.1", 6000 + n),
                ZONES[n % 4],
                slots=slots,
                drain=f"s{n}" in drain,
            )
            for n in range(first, first + count)
        ),
    )


def make_snapshot(version, pool, zones_out=()):
    routes = {SERVICE: Route(SERVICE, "rota")}
    return Snapshot(version, routes, {"rota": pool}, frozenset(zones_out))


def flow(number):
    return make_key(
        Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 1000), SERVICE
    )


def bucket(key):
    return flow_hash(key) & BUCKET_MASK


class _Server:
    def __init__(self, fleet, server):
        self.fleet = fleet
        self.name = server.name
        self.mode = "accept"
        self.isn = server.address.port
        self.flows = set()

    def receive(self, segment):
        self.fleet.delivered.setdefault(segment.key, []).append((self.name, segment))
        if self.mode == "silent":
            return
        if segment.is_syn and (self.mode == "accept" or segment.key in self.flows):
            self.flows.add(segment.key)
            key = reverse_key(segment.key)
            self.answer(Segment(key, SYN | ACK, seq=self.isn, ack=segment.seq + 1))
        elif segment.is_syn or segment.key not in self.flows:
            self.answer(segment.reset_reply())
        elif segment.payload:
            key = reverse_key(segment.key)
            self.answer(Segment(key, PSH | ACK, payload=self.name.encode()))

    def answer(self, segment):
        self.fleet.send_packet(segment.encode(), Direction.ANSWER)


class _Node(PacketLink, PeerLink, Recorder):
    def __init__(self, fleet, name, policy, cfg):
        self.fleet, self.name = fleet, name
        self.running, self.paused = True, False
        self.state, self.incarnation = MemberState.SERVING, 1
        self.received, self.number, self.records = {}, 0, []
        self.backlog = []
        self.router = FlowRouter(
            name,
            clock=fleet.clock,
            packets=self,
            peers=self,
            recorder=self,
            rng=Random(name),
            policy=policy,
            cfg=cfg,
        )

    def record(self, kind, **fields):
        self.records.append((kind, fields))

    def send_to_server(self, server, packet):
        self.fleet.queue.append((None, self.fleet.server_at[server], packet))

    def send_to_caller(self, packet):
        segment = Segment.decode(packet)
        self.fleet.answers.setdefault(reverse_key(segment.key), []).append(segment)

    def relay(self, instance_id, packet, *, direction, hops):
        self.fleet.send_to_node(instance_id, packet, direction, hops)

    def send(self, instance_id, msg):
        outgoing = PeerMessage()
        outgoing.CopyFrom(msg)
        outgoing.sender, outgoing.incarnation = self.name, self.incarnation
        self.fleet.control_bytes += outgoing.ByteSize()
        if not self.fleet.is_partitioned(self.name, instance_id):
            self.fleet.queue.append((self.name, instance_id, outgoing))


class Fleet:
    """Routers ``i1`` to ``iN`` in zones a to d, one service, a manual clock."""

    def __init__(self, nodes=4, *, pool=None, policy="exceptions", cfg=None):
        self.clock = ManualClock(start=1000.0)
        self.rng = Random(7)
        self.queue, self.answers, self.delivered = deque(), {}, {}
        self.control_bytes = 0
        self.server_at, self.servers = {}, {}
        self.partitions, self.drop_if = set(), lambda sender, to, item: False
        self.view_version = 0
        self.policy, self.cfg = policy, cfg
        self.history = [
            HistoryEntry(make_snapshot(1, pool or make_pool(7)), self.clock.monotonic())
        ]
        self.nodes = {}
        for number in range(1, nodes + 1):
            self.add_node(f"i{number}")
        self.set_view()
        self.run(3.5)  # until certificates are valid and owners are settled

    def add_node(self, name, state=MemberState.SERVING):
        node = self.nodes[name] = _Node(self, name, self.policy, self.cfg)
        node.state = state
        self.apply_history([name])
        return node

    def zone(self, name):
        return ZONES[int(name[1:]) % 4]

    def publish(self, pool=None, zones_out=(), *, to=None):
        last = self.history[-1].snapshot
        snapshot = make_snapshot(
            last.version + 1, pool or last.pools["rota"], zones_out
        )
        self.history.append(HistoryEntry(snapshot, self.clock.monotonic()))
        self.apply_history(to or list(self.nodes))

    def apply_history(self, names):
        for server in self.history[-1].snapshot.pools["rota"].servers:
            if server.address not in self.server_at:
                self.server_at[server.address] = server.name
                self.servers[server.name] = _Server(self, server)
        for name in names:
            self.nodes[name].router.apply_history(self.history)
            self.nodes[name].config = self.history[-1].snapshot.version

    def view(self, names, unreachable=()):
        self.view_version += 1
        members = {
            name: Member(
                name,
                self.zone(name),
                self.nodes[name].state,
                self.nodes[name].incarnation,
            )
            for name in names
        }
        zones = {self.zone(name) for name in unreachable}
        zones -= {member.zone for member in members.values()}
        return GroupView(
            self.view_version, members, frozenset(unreachable), frozenset(zones)
        )

    def set_view(self, *, at=None, unreachable=()):
        running = [name for name, node in self.nodes.items() if node.running]
        names = [name for name in running if name not in unreachable]
        for name in at or names:
            self.nodes[name].router.apply_view(self.view(names, unreachable))

    def kill(self, name):
        self.nodes[name].running = False

    def is_partitioned(self, one, other):
        return (one, other) in self.partitions or (other, one) in self.partitions

    def send_packet(self, packet, direction, via=None):
        running = [
            n for n, node in self.nodes.items() if node.running and not node.paused
        ]
        self.send_to_node(via or self.rng.choice(running), packet, direction, 0)

    def send_to_node(self, name, packet, direction, hops):
        self.queue.append((None, name, (packet, direction, hops)))

    def deliver(self):
        while self.queue:
            sender, to, item = self.queue.popleft()
            if self.drop_if(sender, to, item):
                continue
            if to in self.servers:
                self.servers[to].receive(Segment.decode(item))
                continue
            node = self.nodes[to]
            if node.paused:
                node.backlog.append((sender, to, item))
            elif node.running:
                self._deliver_to(node, sender, item)

    def _deliver_to(self, node, sender, item):
        if isinstance(item, PeerMessage):
            if item.WhichOneof("body") == "heartbeat":
                node.received[sender] = item.heartbeat.number, item.incarnation
            node.router.on_peer_message(sender, item)
        else:
            packet, direction, hops = item
            node.router.handle_packet(packet, direction=direction, hops=hops)

    def resume(self, name):
        node = self.nodes[name]
        node.paused = False
        self.queue.extendleft(reversed(node.backlog))
        node.backlog = []

    def send_heartbeats(self):
        for node in self.nodes.values():
            if not node.running or node.paused:
                continue
            node.number += 1
            for peer in self.nodes:
                if peer != node.name:
                    echo, incarnation = node.received.get(peer, (0, 0))
                    heartbeat = Heartbeat(
                        number=node.number,
                        echo_number=echo,
                        echo_incarnation=incarnation,
                        state=int(node.state),
                        config_version=node.config,
                    )
                    node.router.fill_heartbeat(peer, heartbeat)
                    node.send(peer, PeerMessage(heartbeat=heartbeat))

    def run(self, seconds):
        for step in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for node in self.nodes.values():
                if node.running and not node.paused:
                    node.router.on_tick()
            if step % 5 == 0:
                self.send_heartbeats()
            self.deliver()

    def send_syn(self, key, via=None, seq=100):
        self.send_packet(Segment(key, SYN, seq=seq).encode(), Direction.REQUEST, via)
        self.deliver()

    def send_segment(self, key, via=None, flags=PSH | ACK, payload=b"x", seq=101):
        segment = Segment(key, flags, seq=seq, ack=self.ack(key), payload=payload)
        self.send_packet(segment.encode(), Direction.REQUEST, via)
        self.deliver()

    def ack(self, key):
        """Return the acknowledgement number of a caller, from its first SYN-ACK."""
        syn_acks = [s for s in self.answers.get(key, []) if s.flags & SYN]
        return syn_acks[0].seq + 1 if syn_acks else 1

    def owner(self, key, at="i1"):
        return self.nodes[at].router.explain(key).owner

    def default(self, key, at="i1"):
        """Return the current default of a flow, or the server of its record if any."""
        return self.nodes[at].router.explain(key).server

    def servers_of(self, key):
        return {name for name, _ in self.delivered.get(key, [])}

    def was_reset(self, key):
        return any(segment.flags & RST for segment in self.answers.get(key, []))

    def reset_after_syn_ack(self, key):
        flags = [segment.flags for segment in self.answers.get(key, [])]
        first_syn_ack = next(n for n, each in enumerate(flags) if each & SYN)
        return any(each & RST for each in flags[first_syn_ack:])

    def established(self, key):
        """Check whether a SYN-ACK has reached the caller."""
        return any(segment.flags & SYN for segment in self.answers.get(key, []))

    def answered_by(self, key):
        """Return the server of each answer with payload, in order."""
        return [s.payload.decode() for s in self.answers.get(key, []) if s.payload]

    def place_exception(self, key, via=None):
        """Place a flow that its default server refuses."""
        server = self.servers[self.default(key)]
        server.mode = "refuse"
        self.send_syn(key, via)
        server.mode = "accept"


def find_flow(predicate, start=1):
    return next(flow(n) for n in range(start, start + 20_000) if predicate(flow(n)))


def drop_logs_to(*names):
    return lambda sender, to, item: (
        to in names and hasattr(item, "log") and item.WhichOneof("body") == "log"
    )


def send_via_all(fleet, key):
    for name, node in fleet.nodes.items():
        if node.running and not node.paused:
            fleet.send_segment(key, via=name)
