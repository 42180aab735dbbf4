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
    membership = Membership("i1", "a", 1, clock=clock)
    membership.apply_list([entry(name) for name in ("i1", "i2", "i3")], 1)
    membership.set_state(MemberState.SERVING)
    return membership


def receive_heartbeat(membership, peer, number, *, incarnation=1, **fields):
    fields.setdefault("state", MemberState.SERVING)
    return membership.on_heartbeat(peer, incarnation, number=number, **fields)


def test_listed_member_without_heartbeats_is_unreachable(membership):
    # Guards against refusals by an instance that cannot reach all owners.
    receive_heartbeat(membership, "i2", 1)
    view = membership.view()
    assert set(view.members) == {"i1", "i2"}
    assert view.unreachable == {"i3"}


def test_member_reported_by_another_stays_in_the_view(membership, clock):
    # Guards against a view change on a partition between only two members.
    receive_heartbeat(membership, "i3", 1)
    for number in range(1, 9):
        clock.advance(0.5)
        receive_heartbeat(membership, "i2", number, receives_from=["i1", "i3"])
    assert set(membership.view().members) == {"i1", "i2", "i3"}
    assert membership.received_directly() == ["i2"]
    assert membership.forwarding_member("i3") == "i2"
    assert membership.forwarding_member("i2") is None


def test_repeated_and_reordered_heartbeats_do_not_extend_liveness(membership, clock):
    # Guards against repeated messages that keep a failed member live.
    receive_heartbeat(membership, "i2", 5)
    clock.advance(1.9)
    assert not receive_heartbeat(membership, "i2", 5)
    assert not receive_heartbeat(membership, "i2", 4)
    clock.advance(0.2)
    assert membership.view().unreachable == {"i2", "i3"}


def test_former_incarnation_is_ignored(membership):
    # Guards against a late message that replaces the state of a restarted member.
    receive_heartbeat(membership, "i2", 1, incarnation=4, state=MemberState.JOINING)
    assert not receive_heartbeat(membership, "i2", 900, incarnation=3)
    member = membership.view().members["i2"]
    assert (member.incarnation, member.state) == (4, MemberState.JOINING)
    assert not membership.accepts_incarnation("i2", 3)


def test_unresponsive_member_that_announced_its_stop_is_removed(membership, clock):
    # Guards against a view that stays incomplete after each planned stop.
    receive_heartbeat(membership, "i2", 1, state=MemberState.LEAVING)
    receive_heartbeat(membership, "i3", 1)
    clock.advance(2.5)
    receive_heartbeat(membership, "i3", 2)
    view = membership.view()
    assert set(view.members) == {"i1", "i3"}
    assert view.complete


def test_older_list_versions_are_ignored(membership):
    # Guards against an outdated peer that restores an older list.
    assert not membership.apply_list([entry("i1")], 1)
    assert membership.apply_list([entry("i1")], 3)
    assert not membership.apply_list([entry("i1"), entry("i2")], 2)
    assert membership.heartbeat_targets() == []


def test_unlisted_instance_announces_joining(membership):
    # Guards against an instance that owns slices only in its own view.
    membership.apply_list([entry("i2")], 2)
    assert membership.view().members["i1"].state is MemberState.JOINING


def test_view_version_rises_only_with_changes(membership, clock):
    receive_heartbeat(membership, "i2", 1)
    version = membership.view().version
    clock.advance(0.5)
    receive_heartbeat(membership, "i2", 2)
    assert membership.view().version == version
    receive_heartbeat(membership, "i3", 1)
    assert membership.view().version == version + 1


def test_only_listed_and_allowed_sources_are_accepted(membership, clock):
    # Guards against non-members on the control port. A delisted instance is still
    # accepted for 600 s.
    membership.apply_list([entry("i1"), entry("i2")], 2)
    assert membership.accepts_address("10.0.0.3")
    assert membership.accepts_sender("i3")
    clock.advance(601)
    assert not membership.accepts_address("10.0.0.3")
    assert not membership.accepts_sender("i3")
    assert membership.accepts_address("10.0.0.2")
    allowing = Membership(
        "i1", "a", 1, clock=clock, allowed_networks=[ip_network("10.1.0.0/16")]
    )
    assert allowing.accepts_address("10.1.2.3")
    assert not allowing.accepts_address("10.2.0.1")


def test_relays_are_accepted_from_instances_only(clock):
    # Guards against packets that an operator's host, or any other of an allowed
    # network, sends to the relay socket.
    membership = Membership(
        "i1", "a", 1, clock=clock, allowed_networks=[ip_network("10.1.0.0/16")]
    )
    membership.apply_list([entry("i1"), entry("i2")], 2)
    assert membership.accepts_relay("10.0.0.2")
    assert not membership.accepts_relay("10.1.2.3")
    membership.record_stream("10.1.2.3")
    assert membership.accepts_relay("10.1.2.3")
    assert not membership.accepts_relay("10.1.2.4")
    clock.advance(601)
    assert not membership.accepts_relay("10.1.2.3")
    assert membership.accepts_relay("10.0.0.2")
