"""Guards against open flows that lose their server when routes change."""

import pytest

from magnoliaslip.registry.model import WeightedService
from magnoliaslip.registry.store_client import RoutesChange, ServerChange
from magnoliaslip.steering.flow_tags import MAX_ENDPOINTS, FlowTags
from magnoliaslip.steering.servers import Reachability, TrackedServer
from magnoliaslip.steering.tags import flow_tag
from tests.steering.harness import (
    DESK_ENDPOINT,
    LAB_ENDPOINT,
    Harness,
    routes,
    server,
)


def servers():
    return server("i-1"), server("i-2", service="lab")


def open_flow(harness):
    """Open a flow; return the tag that its caller repeats."""
    assert harness.open() == "i-1"
    return harness.link.sent[-1][2]


CHANGES = {
    "moved route": [routes(2, desk=("lab",))],
    "changed split": [routes(2, desk=("desk", "lab")), routes(3, desk=("lab",))],
    "dropped route": [routes(2, endpoints=[LAB_ENDPOINT])],
    "two quick changes": [routes(2, desk=("lab",)), routes(3, desk=("other",))],
}


@pytest.mark.parametrize("tables", CHANGES.values(), ids=CHANGES.keys())
def test_open_flow_stays_with_its_server_after_a_change_of_its_route(tables):
    # The callers of dropped packets wait until their deadline.
    harness = Harness(*servers())
    tag = open_flow(harness)
    harness.publish(*map(RoutesChange, tables))
    assert harness.handle(tag=tag, seq=1, data_bytes=9) == ["i-1"]
    assert not harness.link.resets


@pytest.mark.parametrize("tables", CHANGES.values(), ids=CHANGES.keys())
def test_instance_started_after_the_change_forwards_the_flow(tables):
    tag = open_flow(Harness(*servers()))
    harness = Harness(*servers(), table=tables[-1])
    assert harness.handle(tag=tag, seq=1, data_bytes=9) == ["i-1"]


def test_instance_with_older_routes_forwards_the_flow():
    placing = Harness(*servers(), table=routes(2, desk=("lab",)))
    assert placing.open() == "i-2"
    tag = placing.link.sent[-1][2]
    behind = Harness(*servers(), table=routes(1))
    assert behind.handle(tag=tag, seq=1, data_bytes=9) == ["i-2"]


def test_changed_route_decides_about_new_flows():
    harness = Harness(*servers())
    open_flow(harness)
    harness.publish(RoutesChange(routes(2, desk=("lab",))))
    assert harness.open(flow=b"new") == "i-2"


def test_weighted_split_that_changes_moves_new_flows_only():
    def split(version, desk_weight, lab_weight):
        table = routes(version)
        table.routes[DESK_ENDPOINT].targets = (
            WeightedService("desk", desk_weight),
            WeightedService("lab", lab_weight),
        )
        return table

    flows = [b"%d" % n for n in range(200)]
    harness = Harness(*servers(), table=split(1, 9.0, 1.0))
    opened = {flow: harness.open(flow=flow) for flow in flows}
    tags = {flow: sent[2] for flow, sent in zip(flows, harness.link.sent, strict=True)}
    harness.publish(RoutesChange(split(2, 1.0, 9.0)))
    behind = Harness(*servers(), table=split(1, 9.0, 1.0))
    started = Harness(*servers(), table=split(2, 1.0, 9.0))
    for flow, name in opened.items():
        for each in (harness, behind, started):
            assert each.handle(flow=flow, tag=tags[flow], seq=1, data_bytes=9) == [name]
    moved = [harness.open(flow=b"new" + flow) for flow in flows]
    assert list(opened.values()).count("i-1") in range(165, 195)
    assert moved.count("i-1") in range(5, 35)


@pytest.mark.parametrize("version", [1, 2, 3])
def test_tag_of_a_stranger_reaches_no_service_that_no_table_allowed(version):
    # On an instance that was there before the change, one that started after it, and
    # one whose routes are older than the flow.
    tables = {1: routes(1), 2: routes(2, desk=("other",)), 3: routes(3)}
    harness = Harness(*servers(), table=tables[version])
    (tag,) = {
        flow_tag(tracked.key, LAB_ENDPOINT)
        for tracked in harness.router.servers
        if tracked.server.service == "lab"
    }
    assert harness.handle(flow=b"other", tag=tag, seq=1, data_bytes=9) == []
    assert not harness.link.resets
    assert harness.handle(flow=b"own", endpoint=LAB_ENDPOINT, tag=tag) == ["i-2"]


def test_tag_of_another_endpoint_is_dropped():
    # A caller of one service must not reach another service by its own valid tag.
    harness = Harness(*servers())
    tag = open_flow(harness)
    assert harness.handle(flow=b"other", endpoint=LAB_ENDPOINT, tag=tag) == []
    assert harness.counters["drop_unknown_tag"] == 1


@pytest.mark.parametrize("tag", [0, 1, 7, 0xFFFFFFFF])
def test_forged_tag_is_dropped(tag):
    harness = Harness(*servers())
    assert harness.handle(flow=b"other", tag=tag) == []
    assert not harness.link.resets


def test_address_used_again_by_another_service_gets_no_packet_of_the_old_flow():
    harness = Harness(server("i-1"))
    tag = open_flow(harness)
    again = server("i-3", service="lab", started_ms=9)
    again.address = server("i-1").address
    harness.publish(ServerChange("i-1", None), ServerChange("i-3", again))
    # The packet still names the old server, so the new user of the address ignores it.
    assert harness.handle(tag=tag, seq=1, data_bytes=9) == ["i-1"]
    harness.now += 61
    harness.router.on_tick(harness.now)
    harness.router.on_tick(harness.now)
    assert harness.handle(flow=b"other", tag=tag) == []


def test_number_of_endpoints_is_bounded():
    # Packets to many endpoints must not use memory without limit.
    tracked = TrackedServer(
        server("i-1"), cold_until=0.0, zone_reachability=Reachability()
    )
    tags = FlowTags()
    tags.update([tracked])
    for number in range(2 * MAX_ENDPOINTS):
        endpoint = number, 443
        assert tags.find(endpoint, flow_tag(tracked.key, endpoint)) is tracked
    assert len(tags._by_endpoint) == MAX_ENDPOINTS
    assert tags.find(DESK_ENDPOINT, flow_tag(tracked.key, DESK_ENDPOINT)) is tracked
