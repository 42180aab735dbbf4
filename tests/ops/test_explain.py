"""Guards against explanations that differ from the placement by instances."""

from random import Random
from unittest.mock import Mock

from msgspec.json import decode

from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.ops.explanations import explain_flow
from magnoliaslip.ops.source import SourceTables
from magnoliaslip.packet.flow_key import make_key
from magnoliaslip.placement.router import FlowRouter

SERVICE = "198.51.100.10:443"


def test_explanation_from_tables_matches_the_router(tables):
    snapshot = SourceTables.load(tables).snapshot
    router = FlowRouter(
        "i1",
        clock=ManualClock(),
        packets=Mock(),
        peers=Mock(),
        recorder=NullRecorder(),
        rng=Random(1),
        policy="stateless",
    )
    router.apply_history([HistoryEntry(snapshot, 0.0)])
    service = Address.parse(SERVICE)
    for port in range(40000, 40050):
        caller = Address("192.0.2.7", port)
        explained = explain_flow(snapshot, caller, service)
        expected = router.explain(make_key(caller, service))
        assert (explained.server, explained.bucket) == (
            expected.server,
            expected.bucket,
        )


def test_text_shows_zone_and_reason(ops, tables, edit):
    edit("zones", '"b": "in"', '"b": "out"')
    code, output = ops("explain", "192.0.2.7:40000", SERVICE, "--tables", tables)
    assert code == 0
    assert "backend server  kd-1" in output
    assert "kd-2 takes no flow: zone b is out" in output
    assert "not published" in output


def test_reason_without_route_or_server(ops, tables, edit):
    edit("pools", '"slots": 4', '"drain": true')
    for service, reason in ((SERVICE, "no_server"), ("198.51.100.9:1", "no_route")):
        options = ("--tables", tables, "--json")
        _, output = ops("explain", "192.0.2.7:40000", service, *options)
        assert decode(output)["reason"] == reason


def test_invalid_usage_sets_the_exit_code(ops, tables):
    assert ops("explain", "192.0.2.7", SERVICE, "--tables", tables)[0] == 2
    assert ops("explain", "192.0.2.7:1", SERVICE)[0] == 2


def test_ipv6_caller_is_rejected(ops, tables):
    assert ops("explain", "[::1]:1", SERVICE, "--tables", tables)[0] == 1
