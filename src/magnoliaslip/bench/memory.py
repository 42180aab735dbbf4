"""Resident memory of control state; each kind is measured in a new interpreter.

Functions that `measure_memory` calls in child processes are public. They take numbers
and return a number or a list of numbers.
"""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from gc import collect
from os import sysconf
from random import Random
from time import process_time

from magnoliaslip.bench.child import call_in_child
from magnoliaslip.bench.report import Figure
from magnoliaslip.bench.routers import NullPacketLink, build_router
from magnoliaslip.bench.tables import PublishedTables, zone_names
from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import GroupView, InstanceEntry, Member
from magnoliaslip.core.links import Direction, PeerLink
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.packet.flow_key import ACK, PSH, service_key
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import (
    BucketOp,
    ExceptionOp,
    Heartbeat,
    LogEntries,
    PeerMessage,
)
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.replication import ack_message
from magnoliaslip.placement.router import FlowRouter

FLOW_COUNT = 300_000
EXCEPTION_SHARES = (0.0, 0.1, 1.0)
SERVER_COUNTS = (10, 1_000, 10_000, 110_000)
ROUTE_COUNT = 22_000
LISTED_INSTANCES = 12_000
GROUP_SIZES = (7, 50, 200)
SERVICE_COUNT = 200
CHANGE_COUNT = 5
REPETITIONS = 3
PARALLEL_CHILDREN = 4  # other processes do not change resident bytes
OPS_PER_MESSAGE = 200  # exceptions, each of which adds a bucket operation

SERVICE = Address("198.51.100.10", 443)
SERVER = Address("127.0.0.1", 6080)


def resident_bytes() -> int:
    """Return the resident bytes of this process after a garbage collection."""
    collect()
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * sysconf("SC_PAGE_SIZE")


class AckingPeerLink(PeerLink):
    """Acknowledges replication logs in `deliver`, so that none accumulate in memory."""

    def __init__(self) -> None:
        self._acks: list[PeerMessage] = []

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Queue the acknowledgement of a replication log."""
        if msg.WhichOneof("body") == "log":
            log = msg.log
            last = log.first_sequence + len(log.buckets) + len(log.exceptions) - 1
            self._acks.append(ack_message(last, 0))

    def deliver(self, router: FlowRouter) -> None:
        """Deliver the queued acknowledgements to the router."""
        acks, self._acks = self._acks, []
        for ack in acks:
            router.on_peer_message("i2", ack)


def measure_flow_memory(count: int, share: float, seed: int) -> float:
    """Return resident bytes per flow at an owner that holds replicas of exceptions.

    Args:
        count: Total number of flows.
        share: Share of them that are exceptions.
        seed: Seed of the random flow keys.
    """
    clock = ManualClock(start=100.0)
    peers = AckingPeerLink()
    router = build_router(
        clock, NullPacketLink(), service=SERVICE, server=SERVER, peers=peers
    )
    before = resident_bytes()
    fill_router(router, count, share, seed, clock=clock, peers=peers)
    # A key that is drawn twice is one flow.
    return (resident_bytes() - before) / router.flow_records_held


def fill_router(
    router: FlowRouter,
    count: int,
    share: float,
    seed: int,
    *,
    clock: ManualClock,
    peers: AckingPeerLink,
) -> None:
    """Add flows to a router, a share of them as replicas of exceptions.

    Args:
        router: Router of the only member of its group.
        count: Total number of flows.
        share: Share of them that are exceptions.
        seed: Seed of the random flow keys.
        clock: Clock of the router.
        peers: Peer link of the router.
    """
    rng = Random(seed)
    exceptions = int(count * share)
    if exceptions:
        members = {"i1": Member("i1", "a"), "i2": Member("i2", "b")}
        router.apply_view(GroupView(2, members))
    clock.advance(10.0)
    router.on_tick()
    for _ in range(count - exceptions):
        packet = mid_flow_packet(_random_key(rng))
        router.handle_packet(packet, direction=Direction.REQUEST)
    next_sequence = 1
    while exceptions > 0:
        keys = [_random_key(rng) for _ in range(min(OPS_PER_MESSAGE, exceptions))]
        log = LogEntries(
            first_sequence=next_sequence,
            services=["service"],
            buckets=[
                BucketOp(bucket=flow_hash(key) & 0xFFFF, dirty=True) for key in keys
            ],
            exceptions=[ExceptionOp(key=key, server="server-0") for key in keys],
            reset=next_sequence == 1,
        )
        router.on_peer_message("i2", PeerMessage(sender="i2", log=log))
        next_sequence += 2 * len(keys)
        exceptions -= len(keys)
        clock.advance(0.1)
        router.on_tick()
        peers.deliver(router)


def _random_key(rng: Random) -> bytes:
    caller, port = rng.randbytes(4), rng.randbytes(2)
    service = service_key(SERVICE)
    return caller + service[:4] + port + service[4:]


def mid_flow_packet(key: bytes) -> bytes:
    """Build a TCP packet with one byte of payload and without checksums.

    >>> len(mid_flow_packet(bytes(12)))
    41
    """
    header = b"\x45\0\0\x29\0\0\0\0\x40\x06\0\0" + key
    return header + bytes(8) + bytes((0x50, PSH | ACK)) + bytes(7)


def measure_tables(servers: int, routes: int) -> list[float]:
    """Apply tables and then `CHANGE_COUNT` changes of one server each.

    Args:
        servers: Total number of backend servers.
        routes: Number of service addresses; 0 for one per service.

    Returns:
        Resident bytes of the first version and of each further version, then the CPU
        seconds to apply the first version and each further one.
    """
    clock = ManualClock(start=100.0)
    store = SnapshotStore(clock=clock)
    router = FlowRouter(
        "i1",
        clock=clock,
        packets=NullPacketLink(),
        peers=AckingPeerLink(),
        recorder=NullRecorder(),
        rng=Random(1),
    )
    members = {f"i{n}": Member(f"i{n}", zone_names(3)[n % 3]) for n in range(1, 8)}
    router.apply_view(GroupView(1, members))
    store.subscribe(router.apply_history)
    before = resident_bytes()
    tables = PublishedTables(servers, routes=routes)
    values = tables.values()
    started = process_time()
    store.offer(values)
    first_s = process_time() - started
    del values
    after_first = resident_bytes()
    changes_s = 0.0
    for _ in range(CHANGE_COUNT):
        clock.advance(1.0)
        values = tables.values("pools/0")
        started = process_time()
        store.offer(values)
        changes_s += process_time() - started
    del values
    bytes_per_version = (resident_bytes() - after_first) / CHANGE_COUNT
    return [after_first - before, bytes_per_version, first_s, changes_s / CHANGE_COUNT]


def measure_bucket_tables(services: int) -> float:
    """Return resident bytes per service that has flows."""
    clock = ManualClock(start=100.0)
    tables = PublishedTables(services * 3, per_service=3)
    store = SnapshotStore(clock=clock)
    router = build_router(
        clock, NullPacketLink(), service=SERVICE, server=SERVER, peers=AckingPeerLink()
    )
    store.offer({**tables.values()})
    store.offer(tables.values())
    router.apply_history([HistoryEntry(store.snapshot, clock.monotonic())])
    rng = Random(1)
    clock.advance(10.0)
    before = resident_bytes()
    for address in tables.service_addresses:
        service = service_key(address)
        for _ in range(8):
            key = rng.randbytes(4) + service[:4] + rng.randbytes(2) + service[4:]
            router.handle_packet(mid_flow_packet(key), direction=Direction.REQUEST)
    return (resident_bytes() - before) / services


def measure_members(listed: int, group: int) -> float:
    """Return resident bytes per instance on the list.

    Args:
        listed: Number of instances on the platform's list.
        group: Number of these that send heartbeats listing the whole group; 0 measures
            the list alone.
    """
    clock = ManualClock(start=100.0)
    membership = Membership("i0", "a", 1, clock=clock)
    router = build_router(
        clock, NullPacketLink(), service=SERVICE, server=SERVER, peers=AckingPeerLink()
    )
    zones = zone_names(31)
    before = resident_bytes()
    entries = [
        InstanceEntry(
            f"instance-{n}",
            zones[n % 31],
            Address(f"10.9.{n >> 8}.{n & 255}", 7000),
            Address(f"10.9.{n >> 8}.{n & 255}", 7100),
        )
        for n in range(listed)
    ]
    membership.apply_list(entries, 1)
    receives_from = [f"instance-{n}" for n in range(group)]
    for n in range(group):
        data = Heartbeat(number=1, state=1, heard=receives_from).SerializeToString()
        heartbeat = Heartbeat.FromString(data)
        membership.on_heartbeat(
            f"instance-{n}", 1, number=1, state=1, receives_from=heartbeat.heard
        )
    if group:
        view = membership.view()
        router.apply_view(GroupView(2, {"i1": Member("i1", "a"), **view.members}))
        for _ in range(3):
            clock.advance(0.1)
            router.on_tick()
    return (resident_bytes() - before) / listed


def measure_memory() -> list[Figure]:
    """Measure the memory of control state, and the CPU time to apply tables."""
    with ThreadPoolExecutor(PARALLEL_CHILDREN) as pool:

        def submit_runs(function: Callable[..., object], *args: float) -> list:
            name = function.__name__
            return [
                pool.submit(call_in_child, __name__, name, *args)
                for _ in range(REPETITIONS)
            ]

        flows = {
            share: [
                pool.submit(
                    call_in_child,
                    __name__,
                    "measure_flow_memory",
                    FLOW_COUNT,
                    share,
                    seed,
                )
                for seed in range(REPETITIONS)
            ]
            for share in EXCEPTION_SHARES
        }
        tables = {
            count: submit_runs(measure_tables, count, 0) for count in SERVER_COUNTS
        }
        routes = submit_runs(measure_tables, SERVER_COUNTS[0], ROUTE_COUNT)
        buckets = submit_runs(measure_bucket_tables, SERVICE_COUNT)
        listed = submit_runs(measure_members, LISTED_INSTANCES, 0)
        groups = {
            count: submit_runs(measure_members, count, count) for count in GROUP_SIZES
        }
        figures = []

        def add(name: str, runs: list, unit: str, scale: float = 1.0) -> None:
            values = [run.result() * scale for run in runs]
            figures.append(Figure.of(name, values, unit))

        for share, runs in flows.items():
            add(f"memory/flow_at_{share:.0%}_exceptions", runs, "B/flow")
        for count, runs in tables.items():
            figures += _table_figures(count, [run.result() for run in runs])
        without_routes = [run.result()[0] for run in tables[SERVER_COUNTS[0]]]
        with_routes = [run.result()[0] for run in routes]
        per_route = [
            (more - less) / ROUTE_COUNT
            for more, less in zip(with_routes, without_routes, strict=True)
        ]
        figures.append(Figure.of("memory/route", per_route, "B/route"))
        add("memory/service_in_use", buckets, "KiB/service", 1 / 1024)
        add(f"memory/listed_instance/{LISTED_INSTANCES}", listed, "B/instance")
        for count, runs in groups.items():
            add(f"memory/member/{count}", runs, "B/member")
    return figures


def _table_figures(servers: int, runs: list[list[float]]) -> list[Figure]:
    first, further, first_s, change_s = zip(*runs, strict=True)
    return [
        Figure.of(f"memory/server/{servers}", [b / servers for b in first], "B/server"),
        Figure.of(
            f"memory/version/{servers}", [b / 1024 for b in further], "KiB/version"
        ),
        Figure.of(f"tables_cpu/first/{servers}", [s * 1e3 for s in first_s], "ms"),
        Figure.of(f"tables_cpu/change/{servers}", [s * 1e3 for s in change_s], "ms"),
    ]
