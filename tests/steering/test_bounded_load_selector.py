"""Guards against flows that are placed on overloaded, cold or removed servers."""

from collections import Counter

from magnoliaslip.registry.model import RouteTable, ServiceLimits
from magnoliaslip.registry.store_client import ServerChange
from magnoliaslip.steering.servers import REGISTRATION_GRACE_S
from tests.steering.harness import Harness, routes, server


def open_flows(harness, count, *, step_s=0.0):
    """Open flows, each with a request; return flows by server."""
    chosen = Counter()
    for n in range(count):
        harness.now += step_s
        flow = b"%d-%f" % (n, harness.now)
        name = harness.open(flow=flow)
        chosen[name] += 1
        if name is not None:
            harness.handle(flow=flow, tag=harness.tag(name), seq=1, ack=1, data_bytes=9)
    return chosen


def test_own_zone_is_preferred_up_to_the_load_bound():
    names = [("i-1", "a"), ("i-2", "b"), ("i-3", "b"), ("i-4", "b")]
    harness = Harness(*(server(name, zone=zone) for name, zone in names))
    for tracked in harness.router.servers:
        tracked.peer_requests_per_s = 10.0
    chosen = open_flows(harness, 60, step_s=0.02)
    assert chosen["i-1"] == max(chosen.values())
    # The bound keeps the only server of the own zone from getting all flows.
    assert chosen["i-1"] < 40


def test_loads_are_balanced():
    harness = Harness(*(server(f"i-{n}") for n in range(1, 5)))
    chosen = open_flows(harness, 200, step_s=0.01)
    assert max(chosen.values()) <= 1.25 * min(chosen.values())


def test_load_is_weighted_by_slots():
    harness = Harness(server("i-1", slots=2), server("i-2", slots=6))
    chosen = open_flows(harness, 200, step_s=0.01)
    assert 2 * chosen["i-1"] < chosen["i-2"]


def test_cold_server_gets_no_flows_beside_warm_ones():
    harness = Harness(server("i-1"), server("i-2", cold_ms=2000))
    assert set(open_flows(harness, 20)) == {"i-1"}
    harness.now += 2.0
    assert "i-2" in open_flows(harness, 20)


def cold_table(rate):
    table = routes()
    limits = {"desk": ServiceLimits("desk", cold_opens_per_s=rate)}
    return RouteTable(1, table.routes, limits)


def test_cold_servers_alone_are_limited_over_all_instances():
    harness = Harness(server("i-1", cold_ms=60_000), table=cold_table(10.0))
    harness.router.server_choice.cold_share = 1 / 5
    # A fifth of 10 flows per second, for 10 seconds.
    assert open_flows(harness, 1000, step_s=0.01)["i-1"] in range(18, 22)


def test_instance_that_does_not_know_its_fleet_yet_has_no_share_of_a_cold_server():
    harness = Harness(server("i-1", cold_ms=60_000), table=cold_table(10.0))
    harness.router.server_choice.cold_share = 0.0
    assert open_flows(harness, 1000, step_s=0.01)["i-1"] == 0


def test_cold_servers_alone_without_a_limit_get_all_flows():
    for share in (0.0, 1.0):
        harness = Harness(server("i-1", cold_ms=60_000))
        harness.router.server_choice.cold_share = share
        assert open_flows(harness, 20) == {"i-1": 20}


def test_restart_makes_a_server_cold_again():
    harness = Harness(server("i-1"), server("i-2"))
    harness.publish(ServerChange("i-1", server("i-1", started_ms=2, cold_ms=2000)))
    assert set(open_flows(harness, 20)) == {"i-2"}


def test_server_that_answers_gets_flows_while_its_registration_has_lapsed():
    # After an outage of the store, all registrations may be missing for a short time.
    harness = Harness(server("i-1"))
    harness.open(flow=b"first")
    harness.handle(flow=b"first", tag=harness.tag("i-1"), seq=1, ack=1)
    harness.publish(ServerChange("i-1", None))
    assert harness.open(flow=b"second") == "i-1"
    harness.now += REGISTRATION_GRACE_S
    harness.handle(flow=b"first", tag=harness.tag("i-1"), seq=2, ack=9)
    assert harness.open(flow=b"third") is None


def test_removed_server_without_answers_gets_no_flows():
    harness = Harness(server("i-1"))
    harness.publish(ServerChange("i-1", None))
    assert harness.open() is None


def test_removed_server_that_was_draining_gets_no_flows():
    harness = Harness(server("i-1"))
    harness.open(flow=b"first")
    harness.handle(flow=b"first", tag=harness.tag("i-1"), seq=1, ack=1)
    harness.publish(ServerChange("i-1", server("i-1", draining=True)))
    harness.publish(ServerChange("i-1", None))
    assert harness.open(flow=b"second") is None


def test_burst_of_syns_is_spread_before_their_requests_arrive():
    # Guards against overloaded servers after a power loss: waiting callers connect in
    # one burst, and a load that counts only requests is a round trip late.
    harness = Harness(*(server(f"i-{n}") for n in range(1, 5)))
    chosen = Counter(harness.open(bytes([n])) for n in range(40))
    assert max(chosen.values()) <= 11


def test_first_request_is_counted_once():
    # Guards against counting a flow's first request twice, at its SYN and on arrival.
    harness = Harness(server("i-1"))
    (tracked,) = harness.router.servers
    harness.open()
    harness.handle(tag=tracked.tag, seq=1, data_bytes=10)
    assert round(tracked.requests.per_s(harness.now)) == 1
