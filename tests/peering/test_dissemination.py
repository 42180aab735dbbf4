from unittest import mock

import anyio
import pytest
from msgspec.json import encode

from magnoliaslip.core.events import Event
from magnoliaslip.peering import platform_feed
from magnoliaslip.peering.instance_list import InstanceList
from magnoliaslip.peering.platform_feed import watchers
from magnoliaslip.proof.network import PLATFORM
from magnoliaslip.proof.sim_platform import SimPlatformClient

from .harness import in_group, wait_for


@in_group(count=12)
async def test_update_reaches_all_members_within_200_ms(group):
    # Guards against updates that wait for the next heartbeat or poll of each member.
    group.publish_zones(2, a="in", b="out")
    await wait_for(lambda: group.versions() == {2}, 0.2)
    for each in group.instances.values():
        assert each.store.snapshot.zones_out == {"b"}
        assert each.router.histories[-1] == [1, 2]


@in_group(count=12)
async def test_only_two_members_per_zone_watch(group):
    # Guards against platform reads that grow with the number of members.
    view = group["i1"].node.view
    assert all(len(watchers(view, zone)) == 2 for zone in "abc")
    before = group.platform.reads.total()
    await anyio.sleep(30)
    rate = (group.platform.reads.total() - before) / 30
    # 6 watchers with 2 watches of 2 s, and 12 slow polls of 2 keys per 30 s.
    assert rate == pytest.approx(6.8, abs=0.8)


@in_group()
async def test_update_bypasses_unresponsive_watches_within_5_seconds(group):
    # Guards against waiting for watches that are no longer answered.
    with mock.patch.object(platform_feed, "POLL_INTERVAL_S", 1e6):
        for name in group.names:
            group.kill(name)
            group.start(name, incarnation=2)
        await anyio.sleep(5)

    async def never_answer(*_, **__):
        await anyio.sleep_forever()

    with mock.patch.object(SimPlatformClient, "watch", never_answer):
        await anyio.sleep(3)
    group.publish_zones(2, a="out")
    await wait_for(lambda: group.versions() == {2}, 5.0)


@in_group(count=7, zones=1)
async def test_slow_poll_delivers_updates_without_watchers(group):
    # Guards against members that depend only on the watchers.
    group.partition(*watchers(group["i1"].node.view, "a"), others=[PLATFORM])
    for each in group.instances.values():
        each.client.stall_watches()
    await anyio.sleep(5)  # the pending watches have ended
    group.publish_zones(2, a="out")
    elapsed = await wait_for(lambda: group.versions() == {2}, 40)
    assert elapsed > 0.5  # no watch delivered the update


@in_group(seed=2, loss=0.1, jitter_s=0.01)
async def test_new_instance_gets_history_and_list_from_peers(group):
    # Guards against new instances that can't start without the platform.
    for version in range(2, 6):
        group.publish_zones(version, a="in", b="out")
        await anyio.sleep(1)
    group.platform.down = True
    group.kill("i3")
    await anyio.sleep(1)
    seeds = InstanceList.parse(group.instance_list(1)).entries[:2]
    new = group.start("i3", incarnation=2, seeds=seeds)
    await wait_for(lambda: new.router.histories, 2)
    assert new.router.histories[-1] == [1, 2, 3, 4, 5]
    ages = [entry.since for entry in new.store.history]
    assert ages == pytest.approx([e.since for e in group["i1"].store.history], abs=0.2)
    assert new.membership.list_version == 1
    assert new.node.view.complete


@in_group()
async def test_stale_platform_never_replaces_a_newer_version(group):
    # Guards against an older version that replaces the one in force.
    group.platform.set_stale(True)
    await anyio.sleep(1)
    zones = encode({"version": 2, "zones": {"a": "out"}})
    index = encode({"version": 2, "values": {"zones": 2}})
    group["i1"].store.offer({"index": index, "zones": zones})
    newer_list = InstanceList.parse(group.instance_list(2, ["i1", "i2"]))
    group["i1"].node._dissemination._apply_instance_list(newer_list.data)
    await anyio.sleep(60)
    assert group.versions() == {2}
    assert {e.membership.list_version for e in group.instances.values()} == {2}


@in_group()
async def test_rejected_set_is_not_fetched_repeatedly(group):
    # Guards against repeated transfers when software versions differ.
    rejecting = group["i2"]
    group.partition("i2", others=[PLATFORM])
    rejecting.client.stall_watches()
    before = rejecting.metrics.counters["config_transfers"]
    with mock.patch.object(type(rejecting.store), "merge_history", return_value=False):
        group.publish_zones(2, a="out")
        await anyio.sleep(20)
    assert rejecting.store.version == 1
    assert rejecting.metrics.counters["config_transfers"] - before <= 2


@in_group(seed=4, loss=0.05)
async def test_large_tables_are_transferred_in_bounded_messages(group):
    # Guards against messages above 1 MB and queues that hold complete histories.
    values = {}
    for shard in range(3):
        servers = [
            {
                "name": f"s-{number}-{group.rng.getrandbits(300):x}",
                "address": f"10.{shard}.{number // 250}.{number % 250}",
                "port": 6080,
                "zone": "a",
            }
            for number in range(5000)
        ]
        pools = [{"service": f"service-{shard}", "servers": servers}]
        values[f"pools/{shard}"] = encode({"version": 2, "pools": pools})
    values["zones"] = encode({"version": 2, "zones": {"a": "in"}})
    index = {"version": 2, "values": dict.fromkeys(values, 2)}
    group.platform.down = True
    group["i1"].store.offer({"index": encode(index), **values})
    await wait_for(lambda: group.versions() == {2}, 10)
    assert 200_000 < group.largest_message_bytes < 1_000_000


@in_group()
async def test_resumed_instance_is_updated_before_its_view_is_confirmed(group):
    # Guards against packets to a zone that was taken out during the pause.
    paused = group["i1"]
    group.partition("i1", others=[PLATFORM])
    paused.process.pause()
    await anyio.sleep(0.5)
    group.publish_zones(2, a="out")
    await anyio.sleep(3)
    paused.process.resume()
    await wait_for(lambda: paused.router.confirmed_at, 0.1)
    assert paused.store.version == 2


@in_group()
async def test_isolated_instance_is_suspect_once_and_for_500_ms_at_most(group):
    # Guards against a partitioned instance that holds its packets forever.
    group.partition("i1", others=["i2", "i3", PLATFORM])
    await anyio.sleep(20)
    router = group["i1"].router
    assert len(router.suspect_at) == 1
    assert router.confirmed_at[0] - router.suspect_at[0] == pytest.approx(0.5, abs=0.02)


@in_group(count=2)
async def test_suspect_instances_do_not_confirm_each_other(group):
    # Guards against mutual confirmation by two instances of one paused machine.
    group.platform.down = True
    paused = list(group.instances.values())
    for each in paused:
        each.process.pause()
    await anyio.sleep(1.2)
    for each in paused:
        each.process.resume()
    await anyio.sleep(1.9)
    assert all(each.router.suspect for each in paused)
    await anyio.sleep(0.2)
    assert not any(each.router.suspect for each in paused)


@in_group()
async def test_view_marked_suspect_by_the_data_path_is_confirmed(group):
    # Guards against packets held for 2 s although peers answer at once.
    router = group["i1"].router
    router.mark_view_suspect()
    await wait_for(lambda: not router.suspect, 0.2)


@in_group(count=3)
async def test_invalid_index_is_logged_and_changes_nothing(group):
    # Guards against an operator who is not told why a publication has no effect.
    group.publish_zones(2, a="in", b="out")
    await wait_for(lambda: group.versions() == {2}, 0.5)
    with mock.patch.object(platform_feed, "log_event") as log:
        group.platform.publish({"index": b"{"})
        await anyio.sleep(3)
    assert group.versions() == {2}
    events = [call.args[1] for call in log.call_args_list]
    assert Event.CONFIG_REJECTED in events
