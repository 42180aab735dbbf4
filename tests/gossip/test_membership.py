"""Guards against members that are dropped, or counted when they are gone."""

from random import Random

import pytest

from magnoliaslip.gossip.digest import DIGEST_FORMAT, Digest, MemberEntry, ZoneReport
from magnoliaslip.gossip.hosts import pack_host
from magnoliaslip.gossip.membership import (
    MEMBER_EXPIRY_S,
    MESH_SIZE,
    MESH_TIMEOUT_S,
    ZONE_REPORT_AGE_S,
    Membership,
    first_heartbeat,
)

RNG = Random(1)


def digest(heartbeat=5, *, zone="a", **fields):
    return Digest(DIGEST_FORMAT, zone, heartbeat, 1, **fields)


def membership():
    return Membership("10.0.0.1", "a", heartbeat=7)


def entry(host, heartbeat, **fields):
    return MemberEntry(pack_host(host), heartbeat, **fields)


def report(zone, number, *, count=3, hosts=()):
    return ZoneReport(zone, number, count, count, tuple(map(pack_host, hosts)))


def test_silent_member_is_not_live_and_expires_later():
    members = membership()
    members.record_digest("10.0.0.2", digest(), 100.0)
    assert [m.host for m in members.live(100.0 + MESH_TIMEOUT_S - 0.1)] == ["10.0.0.2"]
    assert not members.live(100.0 + MESH_TIMEOUT_S)
    later = 100.0 + MEMBER_EXPIRY_S
    members.record_digest("10.0.0.3", digest(), later - 1)
    members.expire(later - 1)
    assert len(members) == 2
    members.record_digest("10.0.0.3", digest(6), later + 1)
    members.expire(later + 1)
    assert len(members) == 1


def test_isolated_instance_remembers_the_size_of_its_fleet():
    # Guards against a share of a cold server's rate that grows with the silence: the
    # others may still run, beyond a partition.
    members = membership()
    for n in range(2, 12):
        members.record_digest(f"10.0.0.{n}", digest(), 100.0)
    members.record_digest(
        "10.1.0.1", digest(zone="b", zones=(report("b", 9, count=40),)), 100.0
    )
    members.expire(100.0 + 10 * MEMBER_EXPIRY_S)
    assert members.fleet_size == 11 + 40


def test_leaving_instance_is_not_live():
    members = membership()
    members.record_digest("10.0.0.2", digest(leaving=True), 100.0)
    assert not members.live(100.0)


def test_heartbeats_arrive_by_way_of_other_members():
    members = membership()
    for now in (100.0, 101.0, 102.0):
        heard = digest(int(now), members=(entry("10.0.0.3", int(now)),))
        members.record_digest("10.0.0.2", heard, now)
    hosts = {member.host for member in members.live(102.5)}
    assert hosts == {"10.0.0.2", "10.0.0.3"}


def test_repeated_heartbeat_of_a_stopped_member_does_not_keep_it_live():
    # Guards against members that repeat to each other what a stopped one last said.
    members = membership()
    for now in (100.0, 101.0, 102.0, 103.0):
        heard = digest(int(now), members=(entry("10.0.0.3", 55),))
        members.record_digest("10.0.0.2", heard, now)
    assert [member.host for member in members.live(103.0)] == ["10.0.0.2"]


def test_late_digest_of_an_earlier_process_is_ignored():
    members = membership()
    members.record_digest("10.0.0.2", digest(first_heartbeat(1_800_000_100)), 100.0)
    late = digest(first_heartbeat(1_800_000_000) + 100, leaving=True)
    members.record_digest("10.0.0.2", late, 101.0)
    [member] = members.live(101.0)
    assert not member.leaving
    assert member.advanced_at == 100.0


@pytest.mark.parametrize("set_back_s", [0.0, 30.0])
def test_process_restarted_with_its_clock_set_back_is_live_again(set_back_s):
    # Guards against a restarted member whose heartbeats stay below those of the process
    # before: the others tell it the highest one that they know.
    restarted = Membership(
        "10.0.0.2", "a", heartbeat=first_heartbeat(1_800_000_000 - set_back_s)
    )
    before = first_heartbeat(1_800_000_000) - 1 + round(set_back_s)
    members = membership()
    members.record_digest("10.0.0.2", digest(before), 100.0)
    heard = digest(9, members=members.entries(100.0, RNG))
    restarted.record_digest("10.0.0.1", heard, 101.0)
    restarted.heartbeat += 1
    members.record_digest("10.0.0.2", digest(restarted.heartbeat), 105.0)
    assert [member.host for member in members.live(105.0)] == ["10.0.0.2"]


def test_newer_report_of_a_zone_replaces_an_older_one_but_not_the_reverse():
    members = membership()
    for number, count in ((20, 5), (19, 4), (21, 6)):
        heard = digest(number, zone="b", zones=(report("b", number, count=count),))
        members.record_digest("10.1.0.1", heard, 100.0)
    assert members.reports["b"].count == 6


def test_report_of_an_author_that_stopped_is_replaced():
    # Guards against the report of an author whose clock was ahead.
    members = membership()
    first = digest(900, zone="b", zones=(report("b", 900, count=5),))
    members.record_digest("10.1.0.1", first, 100.0)
    second = digest(20, zone="b", zones=(report("b", 20, count=4),))
    members.record_digest("10.1.0.2", second, 100.0 + ZONE_REPORT_AGE_S)
    assert members.reports["b"].count == 4


def test_digests_of_a_large_fleet_go_to_a_bounded_number():
    members = membership()
    hosts = [f"10.0.1.{n}" for n in range(200)]
    heard = digest(members=tuple(entry(host, 5) for host in hosts))
    members.record_digest("10.0.0.2", heard, 100.0)
    other = digest(zone="b", zones=(report("b", 5, count=MESH_SIZE, hosts=hosts[:3]),))
    members.record_digest("10.1.0.1", other, 100.0)
    counts = [len(members.targets(100.0, RNG)) for _ in range(50)]
    assert max(counts) <= 6


def test_watchers_are_chosen_among_members_that_read_the_store():
    hosts = [f"10.0.0.{n}" for n in range(1, 8)]

    def watchers(failing):
        chosen = []
        for host in hosts:
            members = Membership(host, "a", heartbeat=7)
            for other in hosts:
                if other != host:
                    heard = digest(reads_store=other not in failing)
                    members.record_digest(other, heard, 100.0)
            if members.watches_store(100.0, reads_store=host not in failing):
                chosen.append(host)
        return chosen

    first = watchers(())
    assert len(first) == 2
    assert len(watchers(first)) == 2 and not set(watchers(first)) & set(first)
    # While nobody reads it, two keep trying.
    assert watchers(hosts) == first


def test_forged_heartbeat_of_the_own_address_is_ignored():
    # Guards against numbers that can't be increased or encoded any more.
    members = membership()
    members.record_digest(
        "10.0.0.2", digest(members=(entry("10.0.0.1", 2**63),)), 100.0
    )
    assert members.heartbeat == 7
