"""Guards against a status or explanation that differs from the handling of packets."""

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.digest import DIGEST_FORMAT, Digest, ZoneReport
from magnoliaslip.gossip.hosts import pack_host
from magnoliaslip.gossip.membership import Membership
from magnoliaslip.registry.model import ServiceLimits
from magnoliaslip.registry.store_client import ServerChange, ZoneChange
from magnoliaslip.runtime.status_builder import StatusBuilder
from magnoliaslip.steering.reachability import SYN_ANSWER_TIMEOUT_S
from tests.steering.harness import (
    DESK_ENDPOINT,
    START_TIME_S,
    Harness,
    routes,
    server,
)

ENDPOINT = Address("198.18.0.1", 443)
WALL_OFFSET_S = 1.7e9


def status_builder(harness):
    clock = ManualClock(start=harness.now, wall_offset=WALL_OFFSET_S)
    return StatusBuilder(harness.router, directory=harness.directory, clock=clock)


def states(harness):
    return {status.id: status.state for status in status_builder(harness).servers()}


def test_each_server_has_its_state_in_the_status():
    harness = Harness(
        server("i-1"), server("i-2"), server("i-3", zone="b"), server("i-4")
    )
    harness.publish(ServerChange("i-2", server("i-2", draining=True)))
    harness.publish(ZoneChange("b", out=True), ServerChange("i-4", None))
    assert states(harness) == {
        "i-1": "serving",
        "i-2": "draining",
        "i-3": "out",
        "i-4": "left",
    }


def test_suspicion_has_its_time_and_source():
    harness = Harness(server("i-1"))
    harness.open()
    harness.now += SYN_ANSWER_TIMEOUT_S + 0.01
    harness.router.on_receive_queue_empty(harness.now)
    suspected = harness.now
    harness.now += 1.0
    (status,) = status_builder(harness).servers()
    assert (status.state, status.suspected_by) == ("suspect", "own")
    assert status.since == pytest.approx(suspected + WALL_OFFSET_S)


def test_explanation_names_the_server_of_a_new_flow():
    harness = Harness(
        server("i-1"), server("i-2", zone="b"), server("i-3", draining=True)
    )
    explanation = status_builder(harness).explain("i1", b"flow", ENDPOINT)
    assert explanation.service == "desk"
    assert explanation.server == "i-1" == harness.open()
    assert "i-3 gets no new flow: it is draining" in explanation.steps
    assert {status.id for status in explanation.servers} == {"i-1", "i-2", "i-3"}


def test_explanation_has_the_waiting_time_of_an_unanswered_request():
    harness = Harness(server("i-1"))
    harness.open()
    harness.handle(tag=harness.tag("i-1"), seq=1, data_bytes=10)
    harness.now += 0.5
    explanation = status_builder(harness).explain("i1", b"flow", ENDPOINT)
    assert (explanation.remembered, explanation.established) == ("i-1", True)
    assert explanation.waiting_s == 0.5


def test_explain_does_not_place_a_flow():
    # Guards against queries that use up the warm-up budget of a cold server.
    harness = Harness(server("i-1", cold_ms=60_000))
    (tracked,) = harness.router.servers
    before = tracked.warm_up.available(harness.now, 1.0), tracked.load(harness.now)
    for _ in range(20):
        status_builder(harness).explain("i1", b"flow", ENDPOINT)
    assert (
        tracked.warm_up.available(harness.now, 1.0),
        tracked.load(harness.now),
    ) == before
    assert harness.router.flows.get(b"flow") is None


def test_explanation_of_an_endpoint_without_a_route_names_no_service():
    harness = Harness(server("i-1"))
    explanation = status_builder(harness).explain(
        "i1", b"flow", Address("198.18.0.9", 1)
    )
    assert not explanation.service and "a SYN is reset" in explanation.steps[-1]


def test_endpoint_that_is_not_ipv4_is_an_error():
    harness = Harness(server("i-1"))
    with pytest.raises(ValueError, match="IPv4"):
        status_builder(harness).explain("i1", b"flow", Address("::1", 1))


def test_peer_status_has_the_time_of_the_last_digest():
    harness = Harness(server("i-1"))
    members = Membership("10.0.0.1", "a", heartbeat=1)
    named_only = ZoneReport("a", 1, 2, 2, (pack_host("10.0.0.2"),))
    members.record_digest(
        "10.0.0.3", Digest(DIGEST_FORMAT, "b", 1, 5, zones=(named_only,)), START_TIME_S
    )
    harness.now += 1.0
    named, received = status_builder(harness).instances(members)
    assert (named.host, named.live, named.heard_at) == ("10.0.0.2", False, 0.0)
    assert (received.zone, received.live) == ("b", True)
    assert received.heard_at == pytest.approx(START_TIME_S + WALL_OFFSET_S)


def test_endpoint_of_a_route_is_found():
    harness = Harness(server("i-1"))
    assert DESK_ENDPOINT in harness.directory.table.routes
    assert status_builder(harness).explain("i1", b"flow", ENDPOINT).service == "desk"


def test_server_over_its_warm_up_limit_is_not_named():
    # Guards against an explanation that names a server while SYNs are dropped.
    table = routes()
    table.services["desk"] = ServiceLimits("desk", cold_opens_per_s=1.0)
    harness = Harness(server("i-1", cold_ms=60_000), table=table)
    harness.now += 1.0
    assert harness.open() == "i-1"
    assert harness.open(flow=b"second") is None
    explanation = status_builder(harness).explain("i1", b"second", ENDPOINT)
    assert explanation.server == ""
    assert explanation.steps[-1] == "no server is eligible: a SYN is dropped"
