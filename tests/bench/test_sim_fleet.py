"""Tests of the simulated fleet, the generated tables and the filled router."""

from magnoliaslip.bench.control import measure_echo_group, measure_flows
from magnoliaslip.bench.memory import (
    SERVER,
    SERVICE,
    AckingPeerLink,
    NullPacketLink,
    build_router,
    fill_router,
    mid_flow_packet,
)
from magnoliaslip.bench.propagation import measure_instance_start
from magnoliaslip.bench.tables import SERVERS_PER_SHARD, PublishedTables
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.packet.flow_key import has_fixed_offsets


def test_store_accepts_tables_of_two_shards():
    """Guards against generated tables that the store would reject."""
    tables = PublishedTables(SERVERS_PER_SHARD + 10, zones=2)
    store = SnapshotStore(clock=ManualClock())
    assert store.offer(tables.values()).version == 1
    change = tables.values("pools/1")
    assert sorted(change) == ["index", "pools/1"]
    assert store.offer(change).version == 2


def test_runs_with_one_seed_send_the_same_control_bytes():
    """Guards against a simulated figure that differs between runs with one seed."""
    assert measure_echo_group(7, 3)[1] == measure_echo_group(7, 3)[1] > 0


def test_flows_of_the_workload_are_accepted():
    """Guards against figures of a workload whose SYNs are dropped."""
    bytes_per_s, accepted = measure_flows(5.0, 1, 1)
    assert accepted > 0.95
    assert bytes_per_s > 0


def test_instance_starts_without_the_platform():
    """Guards against an instance that serves only once the platform answers."""
    seconds, _, reads = measure_instance_start(1, False, 1)
    assert seconds < 10
    assert reads == 0


def filled_router(count, share):
    clock, peers = ManualClock(start=100.0), AckingPeerLink()
    router = build_router(
        clock, NullPacketLink(), service=SERVICE, server=SERVER, peers=peers
    )
    fill_router(router, count, share, 1, clock=clock, peers=peers)
    return router


def test_filled_router_holds_every_flow_that_it_owns():
    """Guards against packets that the router drops instead of recording."""
    assert has_fixed_offsets(mid_flow_packet(bytes(12)))
    assert filled_router(2_000, 0.0).flow_records_held == 2_000
    router = filled_router(2_000, 0.1)
    # The other member owns about half of the slices. In the other slices a replica is
    # not counted as an exception, because its server is the default.
    assert router.exceptions_held > 200 // 3
    assert router.flow_records_held > 200 + 1_800 // 3
