import anyio

from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage

from .harness import in_group


@in_group(count=7, zones=4, seed=3, loss=0.1, jitter_s=0.3, control_fault_rate=0.1)
async def test_views_agree_over_a_lossy_network(group):
    # Guards against views that depend on the order or number of messages.
    for view in group.views().values():
        assert set(view.members) == set(group.names)
        assert view.complete
    assert group.versions() == {1}


@in_group()
async def test_killed_member_is_removed_from_the_views_within_2700_ms(group):
    # Guards against relaying to a killed owner for longer than its flows survive.
    group.kill("i2")
    await anyio.sleep(2.7)
    assert group["i1"].node.view.unreachable == {"i2"}
    assert set(group["i3"].node.view.members) == {"i1", "i3"}


@in_group(count=4)
async def test_partition_between_two_members_changes_no_view(group):
    # Guards against two owners of a slice after a partition between only two members.
    before = group.views()
    group.partition("i1", others=["i2"])
    await anyio.sleep(10)
    assert group.views() == before
    # Messages between the two, echoes included, are forwarded by a third member.
    heartbeat = [b for peer, b in group["i1"].router.heartbeats if peer == "i2"][-1]
    assert heartbeat.echo_incarnation == 1
    assert group["i1"].node._heartbeat_number - heartbeat.echo_number <= 3


@in_group(count=6, loss=0.05, jitter_s=0.02)
async def test_views_are_complete_after_a_zone_partition_heals(group):
    # Guards against sides of a partition that stay separated after it heals.
    group.network.partition_zone("a")
    await anyio.sleep(5)
    assert set(group["i1"].node.view.members) == {"i1", "i4"}
    assert group["i2"].node.view.unreachable == {"i1", "i4"}
    group.network.heal_zone("a")
    await anyio.sleep(2)
    assert all(view.complete for view in group.views().values())


@in_group()
async def test_planned_stop_is_announced_at_once(group):
    # Guards against members that still rank an instance that is leaving.
    group["i2"].node.set_state(MemberState.LEAVING)
    await anyio.sleep(0.05)
    assert group["i1"].node.view.members["i2"].state is MemberState.LEAVING
    group.kill("i2")
    await anyio.sleep(3)
    assert group["i1"].node.view.complete


@in_group()
async def test_numbers_for_a_former_incarnation_are_cleared(group):
    # Guards against a lease or an acknowledgement meant for a former process.
    group.kill("i2")
    await anyio.sleep(0.1)
    new = group.start("i2", incarnation=2)
    await anyio.sleep(0.05)
    stale = Heartbeat(number=10**6, echo_number=40, echo_incarnation=1)
    stale.log_applied, stale.log_applied_incarnation = 9, 1
    new.node.on_message(PeerMessage(sender="i1", incarnation=1, heartbeat=stale))
    peer, heartbeat = new.router.heartbeats[-1]
    assert (peer, heartbeat.echo_number, heartbeat.log_applied) == ("i1", 0, 0)
    assert group["i1"].node.view.members["i2"].incarnation == 2


@in_group()
async def test_non_member_messages_are_rejected_and_forwarding_is_bounded(group):
    # Guards against messages from non-members and against forwarding loops.
    node, counters = group["i1"].node, group["i1"].metrics.counters
    bad_state = Heartbeat(number=10**9)
    bad_state.state = 7
    for msg in (
        PeerMessage(sender="x", heartbeat=Heartbeat(number=1)),
        PeerMessage(sender="i2", incarnation=1),
        PeerMessage(sender="i2", forward_to="x"),
        PeerMessage(sender="i2", incarnation=1, heartbeat=bad_state),
    ):
        node.on_message(msg)
    assert counters["peer_messages_rejected"] == 4
    received = len(group["i3"].router.heartbeats)
    msg = PeerMessage(sender="i2", incarnation=1, forward_to="i3")
    msg.heartbeat.number = 10**8
    node.on_message(msg)
    await anyio.sleep(0.01)
    assert counters["peer_messages_passed_on"] == 1
    assert len(group["i3"].router.heartbeats) == received + 1


@in_group()
async def test_resumed_instance_keeps_its_view_and_joins_again(group):
    # Guards against an instance that resumes after a pause, considers all others
    # unreachable and owns slices without the exceptions that were made during it.
    paused = group["i1"]
    views = len(paused.router.views)
    paused.process.pause()
    await anyio.sleep(4)
    paused.process.resume()
    await anyio.sleep(0.2)
    assert all(len(view.members) == 3 for view in paused.router.views[views:])
    assert len(paused.router.suspect_at) == len(paused.router.confirmed_at) == 1
    assert group["i2"].node.view.members["i1"].state is MemberState.JOINING
    paused.router.exceptions_ready = True
    await anyio.sleep(0.2)
    assert group["i2"].node.view.members["i1"].state is MemberState.SERVING


@in_group()
async def test_short_pause_or_planned_stop_does_not_start_a_new_join(group):
    # Guards against ownership changes at each pause, and against a planned stop that
    # the end of a rejoin reverts.
    paused = group["i1"]
    paused.process.pause()
    await anyio.sleep(1.2)
    paused.process.resume()
    await anyio.sleep(0.05)
    assert len(paused.router.suspect_at) == 1
    assert paused.node.state is MemberState.SERVING
    paused.process.pause()
    await anyio.sleep(4)
    paused.process.resume()
    await anyio.sleep(0.05)
    assert paused.node.state is MemberState.JOINING
    paused.node.set_state(MemberState.LEAVING)
    paused.router.exceptions_ready = True
    await anyio.sleep(0.5)
    assert paused.node.state is MemberState.LEAVING


@in_group(count=7, zones=4)
async def test_idle_control_traffic_is_small(group):
    # Guards against heartbeats that leave no room for exceptions within 4 KB/s.
    before = dict(group.sent_bytes)
    await anyio.sleep(20)
    for name in group.names:
        rate = (group.sent_bytes[name] - before[name]) / 20
        assert rate < 2000, f"{name} sends {rate:.0f} B/s"
