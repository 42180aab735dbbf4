"""Guards against a simulated network that is more reliable than a real one."""

from asyncio import get_running_loop
from collections import Counter
from random import Random

import pytest
from anyio import create_task_group, run, sleep

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.links import Direction
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.proof.fabric import Fabric
from magnoliaslip.proof.network import LinkQuality, Network
from magnoliaslip.proof.sim_links import Receivers, SimPacketLink, SimPeerLink
from magnoliaslip.proof.sim_platform import SimPlatform, SimPlatformClient
from magnoliaslip.proof.virtual_loop import SimProcess, VirtualEventLoop


def run_virtual(function):
    return run(function, backend_options={"loop_factory": VirtualEventLoop})


def make_network(seed=1):
    network = Network(
        get_running_loop(), Random(seed), zone_delay_s=0.003, caller_delay_s=0.001
    )
    for name, zone in (("i1", "a"), ("i2", "b"), ("i3", "b")):
        network.add(name, zone, SimProcess(name))
    network.add("callers")
    network.add("platform")
    return network


def test_loss_duplication_and_reordering_happen_and_repeat_with_the_seed():
    async def main():
        network = make_network()
        network.set_quality(LinkQuality(jitter_s=0.01, loss=0.1, duplicate=0.1))
        received = []
        for number in range(1000):
            network.send("i1", "i2", received.append, number)
        await sleep(1)
        return received

    received = run_virtual(main)
    assert 850 < len(set(received)) < 950
    assert len(received) > len(set(received))
    assert received != sorted(received)
    assert run_virtual(main) == received


def test_partitions_of_pairs_and_zones_block_both_ways_until_healed():
    async def main():
        network = make_network()
        network.partition_zone("b")
        assert not network.is_reachable("i1", "i2")
        assert not network.is_reachable("i2", "platform")
        assert network.is_reachable("i2", "i3")
        assert network.is_reachable("callers", "i2")
        network.heal_zone("b")
        network.partition("i1", "i2")
        assert not network.is_reachable("i2", "i1")
        assert network.is_reachable("i1", "i3")
        network.heal("i1", "i2")
        assert network.is_reachable("i2", "i1")

    run_virtual(main)


def test_datagrams_to_a_paused_process_wait_in_a_bounded_buffer():
    async def main():
        network = make_network()
        network.set_quality(LinkQuality())
        received = []
        network.process_of("i2").pause()
        for number in range(300):
            network.send("i1", "i2", received.append, number)
        await sleep(1)
        assert received == []
        network.process_of("i2").resume()
        await sleep(0)
        assert received == list(range(256))

    run_virtual(main)


def test_messages_to_a_paused_process_wait_apart_from_its_datagrams():
    # Guards against control messages that are lost for the load of the packet socket,
    # and against packets that are lost for the number of messages.
    async def main():
        network = make_network()
        network.set_quality(LinkQuality())
        messages, datagrams = [], []
        network.process_of("i2").pause()
        for number in range(300):
            network.send_stream("i1", "i2", messages.append, number)
            network.send("i1", "i2", datagrams.append, number)
        await sleep(1)
        assert messages == datagrams == []
        network.process_of("i2").resume()
        await sleep(0)
        assert datagrams == list(range(256))
        assert messages == list(range(300))
        assert network.lost["buffer"] == 44

    run_virtual(main)


def test_stream_keeps_order_and_a_stalled_one_loses_until_replaced():
    async def main():
        network = make_network()
        network.set_quality(LinkQuality(jitter_s=0.01, loss=0.2))
        received = []
        for number in range(100):
            network.send_stream("i1", "i2", received.append, number)
        await sleep(1)
        assert received == list(range(100))
        network.stall_stream("i1", "i2")
        network.send_stream("i1", "i2", received.append, "lost")
        network.send_stream("i2", "i1", received.append, "other way")
        await sleep(2)
        network.send_stream("i1", "i2", received.append, "replaced")
        await sleep(1)
        assert received[100:] == ["other way", "replaced"]

    run_virtual(main)


def test_links_reach_servers_peers_and_callers_and_count_control_bytes():
    async def main():
        network = make_network()
        received = []
        receivers = Receivers(lambda packet: received.append(("caller", packet)))
        receivers.datagram_handlers["i2"] = lambda data: received.append(
            ("relay", data)
        )
        receivers.message_handlers["i2"] = lambda data: received.append(
            ("peer", PeerMessage.FromString(data).heartbeat.number)
        )
        server = Address("127.0.0.1", 6080)
        network.add("s", "a")
        receivers.servers[server] = ("s", lambda packet: received.append(("s", packet)))
        sent, sent_bytes = Counter(), Counter()
        link = SimPacketLink("i1", network, receivers, sent)
        link.send_to_server(server, b"E1")
        link.send_to_caller(b"E2")
        link.relay("i2", b"E3", direction=Direction.REQUEST, hops=1)
        msg = PeerMessage(heartbeat=Heartbeat(number=7))
        SimPeerLink("i1", network, receivers.message_handlers, sent_bytes).send(
            "i2", msg
        )
        await sleep(1)
        assert sorted(kind for kind, _ in received) == ["caller", "peer", "relay", "s"]
        assert ("peer", 7) in received
        assert sent == {"server": 1, "caller": 1, "relay": 1}
        assert sent_bytes["i1"] == msg.ByteSize() + 14
        network.process_of("i1").ended = True
        link.send_to_caller(b"after the kill")
        await sleep(1)
        assert len(received) == 4

    run_virtual(main)


def test_fabric_sprays_over_all_and_drops_unreachable_ones_after_a_delay():
    async def main():
        network = make_network()
        fabric = Fabric(network, Random(2))
        received = Counter()
        for name in ("i1", "i2", "i3"):
            fabric.add(name, lambda packet, name=name: received.update([name]))
        network.add("s", "b")
        for _ in range(300):
            fabric.forward_from_caller(b"E")
        await sleep(1)
        assert all(received[name] > 70 for name in ("i1", "i2", "i3"))
        network.partition_zone("b")
        fabric.schedule_refresh()
        await sleep(1.1)
        received.clear()
        for _ in range(100):
            fabric.forward_from_server("s", b"E")
        await sleep(1)
        assert set(received) == {"i2", "i3"}

    run_virtual(main)


def test_platform_watch_returns_updates_and_fails_when_down_or_partitioned():
    async def main():
        network = make_network()
        loop = get_running_loop()
        platform = SimPlatform(loop, Random(3))
        client = SimPlatformClient("i2", network, platform)
        platform.publish({"index": b"1"})
        value = await client.read("index")
        assert (value.data, value.index) == (b"1", 1)
        assert await client.read("pools/9") is None
        watched = []

        async def watch():
            watched.append(await client.watch("index", after=1, deadline=30))

        async with create_task_group() as tasks:
            tasks.start_soon(watch)
            await sleep(1)
            platform.publish({"index": b"2"})
        assert watched[0].data == b"2"
        assert await client.watch("index", after=2, deadline=loop.time() + 1) is None
        platform.set_stale(True)
        await sleep(0.1)
        platform.publish({"index": b"3"})
        assert (await client.read("index")).data == b"2"
        platform.set_stale(False)
        assert (await client.read("index")).data == b"3"
        platform.set_max_reader_lag(4.0)
        platform.publish({"index": b"4"})
        assert (await client.watch("index", after=3, deadline=loop.time() + 9)).index
        platform.down = True
        with pytest.raises(PlatformError):
            await client.read("index")
        platform.down = False
        network.partition("i2", "platform")
        before = loop.time()
        with pytest.raises(PlatformError):
            await client.watch("index", after=4, deadline=before + 1)
        assert loop.time() == before + 3

    run_virtual(main)
