from random import Random

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.lab.fabric import CALLERS, NOTICE_S, FabricModel, PathRule, ServerPort
from magnoliaslip.packet.flow_key import ACK, make_key, reverse_key
from magnoliaslip.packet.segment import Segment

CALLER = Address("10.1.0.1", 5000)
KEY = make_key(CALLER, Address("198.51.100.10", 443))
REQUEST = Segment(KEY, ACK).encode()
ANSWER = Segment(reverse_key(KEY), ACK).encode()
SERVER = Address("127.0.0.1", 6000)
CALLER_AT = Address("127.0.0.1", 5000)


class World:
    def __init__(self, delay_s=0.0):
        self.clock = ManualClock()
        self.sent = []
        self.fabric = FabricModel(
            clock=self.clock,
            rng=Random(1),
            send=lambda packet, address: self.sent.append(address),
            zone_delay_s=delay_s,
            caller_delay_s=delay_s,
        )
        self.entries = [
            InstanceEntry(f"i{n}", zone, Address("127.0.0.1", 7000 + n), SERVER)
            for n, zone in enumerate("aabb")
        ]
        self.fabric.set_instances(self.entries)
        self.fabric.add_server("kd-1", ServerPort("a", SERVER))
        self.fabric.add_caller(KEY[0:4], CALLER_AT)

    def spray(self, count=400):
        self.sent.clear()
        for _ in range(count):
            self.fabric.from_caller(REQUEST)
        return {
            port: [a.port for a in self.sent].count(port) for port in range(7000, 7004)
        }


def test_packets_of_one_flow_reach_all_instances():
    """Guards against a fabric that keeps a flow on one instance and hides faults."""
    assert min(World().spray().values()) > 70


def test_leaving_instance_gets_nothing_and_still_sends():
    """Guards against packets to an instance that has left the list."""
    world = World()
    gone = world.entries[0]
    world.fabric.set_instances(
        [InstanceEntry("i0", "a", gone.data, gone.control, True), *world.entries[1:]]
    )
    assert world.spray()[7000] == 0
    world.fabric.to_caller(ANSWER, gone.data)
    assert world.sent[-1] == CALLER_AT


def test_cut_drops_packets_and_routers_notice_it():
    """Guards against a cut that leaks packets, or blinds the fabric for good."""
    world = World()
    world.fabric.set_rules({(CALLERS, "b"): PathRule(cut=True)})
    shares = world.spray()
    assert shares[7002] == shares[7003] == 0
    assert world.fabric.counters["cut"] > 100
    world.clock.advance(NOTICE_S)
    assert sum(world.spray().values()) == 400
    world.fabric.set_rules({})
    assert min(world.spray().values()) > 70


@pytest.mark.parametrize("loss", [0.0, 0.25])
def test_loss_and_delay_between_zones(loss):
    """Guards against disturbances that hit the wrong path or direction."""
    world = World(delay_s=0.003)
    world.fabric.set_rules({("b", "a"): PathRule(loss=loss, delay_s=0.01)})
    for _ in range(400):
        world.fabric.to_server("kd-1", REQUEST, world.entries[2].data)
    world.fabric.to_server("kd-1", REQUEST, world.entries[0].data)
    assert len(world.sent) == 1  # inside the zone
    world.clock.advance(0.0129)
    world.fabric.poll(world.clock.monotonic())
    assert len(world.sent) == 1
    world.clock.advance(0.01)
    world.fabric.poll(world.clock.monotonic())
    assert abs(len(world.sent) - 1 - 400 * (1 - loss)) < 40


def test_unknown_ends_are_counted():
    """Guards against an exception on packets of strangers."""
    world = World()
    world.fabric.from_server(ANSWER, CALLER_AT)
    world.fabric.to_caller(REQUEST, SERVER)
    world.fabric.set_instances([])
    world.fabric.from_caller(REQUEST)
    assert world.sent == []
    assert world.fabric.counters == {
        "unknown_source": 1,
        "unknown_caller": 1,
        "no_instance": 1,
    }
