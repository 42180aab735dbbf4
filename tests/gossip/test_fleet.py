"""Fleets of hundreds in virtual time: what each sends, and how fast news travels.

Bounds: a change is in force within 6 s (sheet of the large deployment, 3 s of the small
ones), with a factor of two left for what is not simulated; control takes at most 4,000
bytes/s an instance.
"""

import pytest

from magnoliaslip.gossip.digest import encode_digest
from magnoliaslip.registry.store_client import ChangeBatch, ServerChange
from magnoliaslip.steering.reachability import CORRECTION_TIME_S
from tests.gossip.fleet import LargeFleet
from tests.steering.harness import server

MAX_NEWS_S = 3.0
MAX_BYTES_PER_S = 4_000
SIX_ZONES = (16,) * 6


def settled(*zone_sizes, **options):
    fleet = LargeFleet(*zone_sizes, **options)
    fleet.run(6.0)
    return fleet


def knows_its_zone(fleet, node):
    now = fleet.clock.monotonic()
    zone = {other.host for other in fleet.running(node.zone)} - {node.host}
    return {member.host for member in node.members.live_in_zone(now)} == zone


def all_know_their_zones(fleet):
    return all(knows_its_zone(fleet, node) for node in fleet.running())


def watchers(fleet):
    return {
        zone: sum(node.exchange.is_watcher() for node in fleet.running(zone))
        for zone in fleet.zones
    }


def publish(fleet, zones=None, *, number=9):
    """Publish a change, which the watchers of some zones read."""
    revision = 1 + max(n.directory.revision for n in fleet.nodes.values())
    change = ServerChange(f"i-{number}", server(f"i-{number}"))
    for node in fleet.running():
        if node.zone in (zones or fleet.zones) and node.exchange.is_watcher():
            node.directory.apply(ChangeBatch(revision, (change,)))
            node.on_directory_change()
    return revision


def all_have(fleet, revision):
    return all(node.directory.revision >= revision for node in fleet.running())


def test_hundreds_that_start_at_once_know_their_zones_and_the_size_of_the_fleet():
    fleet = LargeFleet(*SIX_ZONES, loss=0.02)
    seconds = fleet.run(8.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None and seconds < 5.0
    fleet.run(3.0)
    assert {node.members.fleet_size for node in fleet.running()} == {96}
    assert set(watchers(fleet).values()) == {2}


def test_what_an_instance_sends_does_not_grow_with_the_fleet():
    figures = {}
    for size in (8, 24):
        fleet = settled(*(size,) * 6)
        fleet.reset_counts()
        fleet.run(5.0)
        assert fleet.fetched == 0
        sent = sum(fleet.sent_bytes.values()) / len(fleet.nodes) / 5.0
        figures[size] = sent, max(fleet.received.values()) / 5.0
    # The number of zones is the same, and the digest lists a bounded number of members.
    assert figures[24][0] < 1.2 * figures[8][0]
    assert figures[24][1] < 1.5 * figures[8][1]
    assert figures[24][0] < 1.5 * MAX_BYTES_PER_S


@pytest.mark.parametrize("size", [5, 17, 33])
def test_digests_stay_within_the_budget(size):
    fleet = settled(*(size,) * 6, loss=0.01)
    fleet.reset_counts()
    fleet.run(5.0)
    sent = [count / 5.0 for count in fleet.sent_bytes.values()]
    assert sum(sent) / len(sent) < MAX_BYTES_PER_S
    # By chance one instance sends to other zones more often; some servers have load.
    assert max(sent) < 1.2 * MAX_BYTES_PER_S


def test_digest_inside_the_zone_has_no_summary_of_the_zone():
    # Its members are listed with their heartbeats.
    fleet = settled(5, 5)
    (node, *_) = fleet.running("zone-0")
    now = fleet.clock.monotonic()
    inside, outside = (
        {report.zone for report in node.exchange.digest(now, other_zone=other).zones}
        for other in (False, True)
    )
    assert inside == {"zone-1"}
    assert outside == {"zone-0", "zone-1"}


def test_news_of_a_zone_crosses_to_another_a_bounded_number_of_times():
    crossed = []
    for size in (8, 24):
        fleet = settled(*(size,) * 6)
        fleet.reset_counts()
        fleet.run(5.0)
        crossed.append(fleet.crossed / 5.0)
    assert crossed[1] < 1.5 * crossed[0]


def test_change_reaches_all_within_seconds_and_is_rarely_fetched():
    fleet = settled(*SIX_ZONES, loss=0.02)
    fleet.reset_counts()
    revision = publish(fleet)
    seconds = fleet.run(MAX_NEWS_S, until=lambda: all_have(fleet, revision))
    assert seconds is not None and seconds < MAX_NEWS_S / 2
    assert fleet.fetched <= len(fleet.nodes)


def test_zone_without_a_store_gets_changes_from_the_others():
    fleet = settled(*SIX_ZONES)
    revision = publish(fleet, zones=fleet.zones[1:])
    seconds = fleet.run(MAX_NEWS_S, until=lambda: all_have(fleet, revision))
    assert seconds is not None


def test_loss_of_both_watchers_of_every_zone():
    fleet = settled(*SIX_ZONES)
    for node in fleet.running():
        if node.exchange.is_watcher():
            fleet.off.add(node.host)
    seconds = fleet.run(8.0, until=lambda: set(watchers(fleet).values()) == {2})
    assert seconds is not None and seconds < 6.0


def test_all_lose_power_at_once_and_return():
    fleet = settled(*SIX_ZONES)
    fleet.lose_power(1.5)
    seconds = fleet.run(8.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None and seconds < 5.0
    # A restart of all is no storm: a seed gets a few digests of each.
    assert max(fleet.received.values()) < 20 * len(fleet.nodes)


def test_zone_that_is_cut_off_keeps_its_beliefs_and_returns():
    fleet = settled(*SIX_ZONES)
    fleet.cut = {fleet.zones[0]}
    fleet.run(8.0)
    cut_off = fleet.running(fleet.zones[0])
    # The others may still place flows on cold servers.
    assert {node.members.fleet_size for node in fleet.running()} == {96}
    assert sum(node.exchange.is_watcher() for node in cut_off) == 2
    revision = publish(fleet, zones=fleet.zones[1:])
    fleet.run(2.0)
    assert not any(node.directory.revision == revision for node in cut_off)
    fleet.cut = set()
    seconds = fleet.run(MAX_NEWS_S, until=lambda: all_have(fleet, revision))
    assert seconds is not None


def test_a_third_is_added():
    fleet = settled(*SIX_ZONES)
    for zone in range(6):
        fleet.add(zone, 6)
    seconds = fleet.run(8.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None and seconds < 4.0
    fleet.run(2.0)
    assert {node.members.fleet_size for node in fleet.running()} == {132}


def test_instances_join_while_two_of_three_seeds_are_gone():
    fleet = settled(*SIX_ZONES)
    fleet.off |= set(fleet.seeds[:2])
    fleet.add(0, 6)
    seconds = fleet.run(8.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None


def test_instances_join_by_changed_seeds():
    fleet = settled(*SIX_ZONES)
    fleet.off |= set(fleet.seeds)
    fleet.seeds = ["10.4.0.3", "10.5.0.3"]
    fleet.add(0, 6)
    seconds = fleet.run(8.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None


def test_silent_member_that_runs_keeps_counting_and_returns_at_once():
    # Guards against a paused instance that is taken for gone: it is not chosen as a
    # watcher meanwhile, but still counts in the shares of cold servers.
    fleet = settled(*SIX_ZONES)
    paused = fleet.running(fleet.zones[1])[3]
    fleet.off.add(paused.host)
    fleet.run(8.0)
    assert all(node.members.fleet_size == 96 for node in fleet.running())
    fleet.off.discard(paused.host)
    assert fleet.run(4.0, until=lambda: all_know_their_zones(fleet)) is not None


def test_running_members_of_a_large_zone_are_not_lost():
    # Guards against members that become live and lost by turns, each time as watchers.
    fleet = LargeFleet(50, 50, loss=0.01)
    fleet.run(8.0)
    for _ in range(100):
        fleet.step()
        assert all_know_their_zones(fleet)


def suspect(node, name, flows, now):
    for flow in flows:
        node.tracked(name).record_retransmission(flow, now, arrived_after=now)
    node.exchange.announce()


def is_unreachable(fleet, node):
    now = fleet.clock.monotonic()
    tracked = node.tracked("i-1")
    return tracked.is_unreachable(
        now, from_zone=node.zone, correction_time_s=CORRECTION_TIME_S
    )


@pytest.mark.parametrize("server_zone", ["zone-0", "zone-3"])
def test_evidence_of_several_instances_is_summed_over_a_zone(server_zone):
    # Each of three instances sees one or two unresponsive flows, which are not enough.
    fleet = settled(*SIX_ZONES, servers=(server("i-1", zone=server_zone),))
    now = fleet.clock.monotonic()
    zone = fleet.running("zone-0")
    suspect(zone[1], "i-1", [b"1", b"2"], now)
    suspect(zone[5], "i-1", [b"3", b"4"], now)
    first, second = zone[1], zone[5]
    assert fleet.run(
        0.8,
        until=lambda: is_unreachable(fleet, first) and is_unreachable(fleet, second),
    )
    knowing = [n for n in zone if n.tracked("i-1").suspected_by_peers]
    assert len(knowing) >= len(zone) - 3
    # What one zone observes applies to others only if the server is in that zone.
    elsewhere = [
        node
        for node in fleet.running("zone-5")
        if node.tracked("i-1").suspected_by_peers
    ]
    assert bool(elsewhere) == (server_zone == "zone-0")


def test_answer_to_any_instance_of_the_zone_ends_a_suspicion_before_flows_are_reset():
    # Guards against an established flow that is reset while its server answers others.
    fleet = settled(*SIX_ZONES, servers=(server("i-1", zone="zone-0"),))
    zone = fleet.running("zone-0")
    answered = zone[9].tracked("i-1")
    for step in range(24):
        now = fleet.clock.monotonic()
        answered.record_request(now)
        answered.record_answer(now)
        if step == 4:
            suspect(zone[1], "i-1", [b"1", b"2"], now)
            suspect(zone[5], "i-1", [b"3", b"4"], now)
        fleet.step()
        for node in zone:
            assert not is_unreachable(fleet, node)
    fleet.run(1.5)
    assert not any(node.tracked("i-1").suspected_by_peers for node in zone)


def test_cut_that_all_observe_at_once_stays_within_the_rate_of_announcements():
    servers = [server(f"i-{n:x}00", zone="zone-3") for n in range(25)]
    fleet = settled(*SIX_ZONES, servers=servers)
    fleet.reset_counts()
    for step in range(40):
        now = fleet.clock.monotonic()
        for n, node in enumerate(fleet.running("zone-0")):
            name = servers[(n + step) % 25].id
            suspect(node, name, [bytes([n, step]), bytes([n, step, 1])], now)
        fleet.step()
    zone = fleet.running("zone-0")
    sent = max(fleet.sent[node.host] for node in zone) / 2.0
    # Four receivers, five announcements and two periods a second, and other zones.
    assert sent < 50
    for node in zone:
        assert len(encode_digest(node.exchange.digest(now))) < 2_000


def test_loads_are_estimated_from_a_sample():
    servers = [server(f"i-{n:x}00", zone="zone-0") for n in range(8)]
    fleet = settled(*(40,) * 2, servers=servers)
    for _ in range(120):
        now = fleet.clock.monotonic()
        for n, node in enumerate(fleet.running("zone-0")):
            # Four requests per second of each instance, on two of the eight servers.
            if fleet.rng.random() < 4 * 0.05:
                node.tracked(servers[n % 2].id).record_request(now)
        fleet.step()
    now = fleet.clock.monotonic()
    for node in fleet.running("zone-0")[:10]:
        loads = [node.tracked(each.id).load(now) * each.slots for each in servers]
        assert sum(loads) == pytest.approx(160, rel=0.5)
        assert sum(loads[:2]) > 0.9 * sum(loads)
    # The other zone knows the sum, and spreads it over the servers of the group.
    for node in fleet.running("zone-1")[:5]:
        loads = [node.tracked(each.id).load(now) * each.slots for each in servers]
        assert sum(loads) == pytest.approx(160, rel=0.5)
