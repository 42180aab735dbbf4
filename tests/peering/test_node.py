import anyio
import pytest

from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage

from .harness import Group, Network, run_virtual


def in_group(**options):
    """Run a test with a settled group in virtual time."""

    def decorate(test):
        def run():
            async def main():
                async with anyio.create_task_group() as tasks:
                    group = Group(tasks, **options)
                    await group.start_all()
                    await test(group)
                    tasks.cancel_scope.cancel()

            run_virtual(main)

        run.__name__ = test.__name__
        return run

    return decorate


@in_group(count=7, zones=4, network=Network(seed=3, loss=0.1, repeat=0.1, jitter=0.3))
async def test_views_agree_over_a_lossy_network(group):
    # Guards against views that depend on the order or number of messages.
    for node in group.nodes.values():
        assert set(node.view.members) == set(group.names)
        assert node.view.complete
    assert set(group.versions().values()) == {1}


@in_group()
async def test_killed_member_leaves_the_views_in_time(group):
    # Guards against relays to a dead owner for longer than its flows survive.
    group.kill("i2")
    await anyio.sleep(2.7)
    assert group.nodes["i1"].view.unheard == {"i2"}
    assert set(group.nodes["i3"].view.members) == {"i1", "i3"}


@in_group(count=4)
async def test_cut_between_two_members_changes_no_view(group):
    # Guards against two owners of a slice after a cut between two members alone.
    versions = {name: node.view.version for name, node in group.nodes.items()}
    group.network.cut("i1", others=["i2"])
    await anyio.sleep(10)
    assert {n: node.view.version for n, node in group.nodes.items()} == versions
    # Messages between the two pass through a third member, echoes included.
    peer, heartbeat = [b for b in group.routers["i1"].heartbeats if b[0] == "i2"][-1]
    assert (peer, heartbeat.echo_incarnation) == ("i2", 1)
    assert group.nodes["i1"]._heartbeat_number - heartbeat.echo_number <= 3


@in_group()
async def test_planned_stop_is_announced_at_once(group):
    # Guards against members that go on ranking an instance that is leaving.
    group.nodes["i2"].set_state(MemberState.LEAVING)
    await anyio.sleep(0.05)
    assert group.nodes["i1"].view.members["i2"].state is MemberState.LEAVING
    group.kill("i2")
    await anyio.sleep(3)
    assert group.nodes["i1"].view.complete


@in_group()
async def test_numbers_of_a_former_incarnation_are_withheld(group):
    # Guards against a lease or an acknowledgement that a dead process was given.
    group.kill("i2")
    await anyio.sleep(0.1)
    group.start("i2", incarnation=2)
    await anyio.sleep(0.05)
    stale = PeerMessage(
        sender="i1",
        incarnation=1,
        heartbeat=Heartbeat(
            number=10**6,
            echo_number=40,
            echo_incarnation=1,
            log_applied=9,
            log_applied_incarnation=1,
        ),
    )
    group.nodes["i2"].on_message(stale)
    peer, heartbeat = group.routers["i2"].heartbeats[-1]
    assert (peer, heartbeat.echo_number, heartbeat.log_applied) == ("i1", 0, 0)
    assert group.nodes["i1"].view.members["i2"].incarnation == 2


@in_group()
async def test_foreign_and_forwarded_messages(group):
    # Guards against strangers and against messages that travel in circles.
    node, counters = group.nodes["i1"], group.metrics["i1"].counters
    node.on_message(PeerMessage(sender="x", heartbeat=Heartbeat(number=1)))
    node.on_message(PeerMessage(sender="i2", incarnation=1))
    node.on_message(PeerMessage(sender="i2", forward_to="x"))
    assert counters["peer_messages_rejected"] == 3
    bad = PeerMessage(sender="i2", incarnation=1, heartbeat=Heartbeat(number=10**9))
    bad.heartbeat.state = 7
    node.on_message(bad)
    assert counters["peer_messages_rejected"] == 4
    sent = group.network.sent_bytes["i1"]
    heartbeat = Heartbeat(number=10**8)
    msg = PeerMessage(sender="i2", incarnation=1, forward_to="i3", heartbeat=heartbeat)
    node.on_message(msg)
    assert counters["peer_messages_passed_on"] == 1
    assert group.network.sent_bytes["i1"] == sent + msg.ByteSize()


@in_group()
async def test_pause_drops_no_member_from_the_view(group):
    # Guards against an instance that wakes late, takes all others for dead and owns
    # every slice.
    before = {name: len(router.views) for name, router in group.routers.items()}
    group.network.pause_all(30)
    await anyio.sleep(1)
    for name, router in group.routers.items():
        views = router.views[before[name] :]
        assert all(set(view.members) == set(group.names) for view in views)
        assert len(router.suspect_at) == len(router.confirmed_at) == 1


@in_group()
async def test_late_waker_joins_again(group):
    # Guards against an owner that does not know the exceptions made during its pause.
    node, router = group.nodes["i1"], group.routers["i1"]
    node._confirmation._last_tick -= 1.6  # as after a pause
    await anyio.sleep(0.2)
    assert node.membership.state is MemberState.JOINING
    assert group.nodes["i2"].view.members["i1"].state is MemberState.JOINING
    router.exceptions_ready = True
    await anyio.sleep(0.2)
    assert group.nodes["i2"].view.members["i1"].state is MemberState.SERVING
    node._confirmation._last_tick -= 1.1  # too short to be dropped by the others
    await anyio.sleep(0.05)
    assert node.membership.state is MemberState.SERVING
    node._confirmation._last_tick -= 1.6
    node.refresh_view()
    node.set_state(MemberState.LEAVING)
    await anyio.sleep(0.3)
    assert node.membership.state is MemberState.LEAVING


@in_group(count=7, zones=4)
async def test_idle_control_traffic_is_small(group):
    # Guards against heartbeats that leave no room for exceptions in 4 KB/s.
    before = dict(group.network.sent_bytes)
    await anyio.sleep(20)
    for name in group.names:
        rate = (group.network.sent_bytes[name] - before[name]) / 20
        assert rate < 2000, f"{name} sends {rate:.0f} B/s"


@pytest.mark.parametrize("seed", range(3))
def test_zone_cut_and_heal(seed):
    # Guards against sides that do not find each other again after a cut.
    async def main():
        async with anyio.create_task_group() as tasks:
            network = Network(seed=seed, loss=0.05, jitter=0.02)
            group = Group(tasks, count=6, network=network)
            await group.start_all()
            network.cut("i1", "i4", others=["i2", "i3", "i5", "i6"])
            await anyio.sleep(5)
            assert set(group.nodes["i1"].view.members) == {"i1", "i4"}
            assert group.nodes["i2"].view.unheard == {"i1", "i4"}
            network.cuts.clear()
            await anyio.sleep(2)
            assert all(node.view.complete for node in group.nodes.values())
            tasks.cancel_scope.cancel()

    run_virtual(main)
