from ipaddress import ip_network

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import InstanceEntry, MemberState
from magnoliaslip.peering.membership import Membership


def entry(name, zone="a", host=None):
    host = host or f"10.0.0.{name[1:]}"
    return InstanceEntry(name, zone, Address(host, 7000), Address(host, 7100))


@pytest.fixture
def clock():
    return ManualClock(start=100.0)


@pytest.fixture
def membership(clock):
    built = Membership("i1", "a", 1, clock=clock)
    built.apply_list([entry(name) for name in ("i1", "i2", "i3")], 1)
    built.set_state(MemberState.SERVING)
    return built


def hear(membership, peer, number, *, incarnation=1, **fields):
    fields.setdefault("state", MemberState.SERVING)
    return membership.on_heartbeat(peer, incarnation, number=number, **fields)


def test_listed_member_never_heard_is_unheard(membership):
    # Guards against refusals by an instance that cannot hear all owners.
    hear(membership, "i2", 1)
    view = membership.view()
    assert set(view.members) == {"i1", "i2"}
    assert view.unreachable == {"i3"}


def test_indirect_evidence_keeps_a_member_in_the_view(membership, clock):
    # Guards against a view change by a cut between two members alone.
    hear(membership, "i3", 1)
    for number in range(1, 9):
        clock.advance(0.5)
        hear(membership, "i2", number, heard=["i1", "i3"])
    assert set(membership.view().members) == {"i1", "i2", "i3"}
    assert membership.heard_directly() == ["i2"]
    assert membership.third_member("i3") == "i2"
    assert membership.third_member("i2") is None


def test_repeated_and_reordered_heartbeats_do_not_prolong_life(membership, clock):
    # Guards against a dead member that stays live through repeated messages.
    hear(membership, "i2", 5)
    clock.advance(1.9)
    assert not hear(membership, "i2", 5)
    assert not hear(membership, "i2", 4)
    clock.advance(0.2)
    assert membership.view().unreachable == {"i2", "i3"}


def test_former_incarnation_is_ignored(membership):
    # Guards against a late message that makes a restarted member look older.
    hear(membership, "i2", 1, incarnation=4, state=MemberState.JOINING)
    assert not hear(membership, "i2", 900, incarnation=3)
    member = membership.view().members["i2"]
    assert (member.incarnation, member.state) == (4, MemberState.JOINING)
    assert not membership.accepts_message("i2", 3)


def test_silent_member_that_announced_its_stop_is_gone(membership, clock):
    # Guards against a view that stays incomplete after each planned stop.
    hear(membership, "i2", 1, state=MemberState.LEAVING)
    hear(membership, "i3", 1)
    clock.advance(2.5)
    hear(membership, "i3", 2)
    view = membership.view()
    assert set(view.members) == {"i1", "i3"}
    assert view.complete


def test_list_versions_only_rise(membership):
    # Guards against a lagging peer that brings back an older list.
    assert not membership.apply_list([entry("i1")], 1)
    assert membership.apply_list([entry("i1")], 3)
    assert not membership.apply_list([entry("i1"), entry("i2")], 2)
    assert membership.targets() == []


def test_unlisted_instance_announces_joining(membership):
    # Guards against an instance that owns slices only in its own view.
    membership.apply_list([entry("i2")], 2)
    assert membership.view().members["i1"].state is MemberState.JOINING


def test_view_version_rises_only_with_changes(membership, clock):
    hear(membership, "i2", 1)
    version = membership.view().version
    clock.advance(0.5)
    hear(membership, "i2", 2)
    assert membership.view().version == version
    hear(membership, "i3", 1)
    assert membership.view().version == version + 1


def test_accepted_sources(membership, clock):
    # Guards against strangers on the control port.
    membership.apply_list([entry("i1"), entry("i2")], 2)
    assert membership.accepts_address("10.0.0.3")
    assert membership.accepts_sender("i3")
    clock.advance(601)
    assert not membership.accepts_address("10.0.0.3")
    assert not membership.accepts_sender("i3")
    assert membership.accepts_address("10.0.0.2")
    other = Membership(
        "i1", "a", 1, clock=clock, allowed_networks=[ip_network("10.1.0.0/16")]
    )
    assert other.accepts_address("10.1.2.3")
    assert not other.accepts_address("10.2.0.1")
