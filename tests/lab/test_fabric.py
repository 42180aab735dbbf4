from random import Random

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.lab.fabric import (
    CALLERS,
    FABRIC_DETECTION_DELAY_S,
    FabricModel,
    PathRule,
    ServerAttachment,
)
from magnoliaslip.packet.flow_key import ACK, make_key, reverse_key
from magnoliaslip.packet.segment import Segment

CALLER = Address("10.1.0.1", 5000)
KEY = make_key(CALLER, Address("198.51.100.10", 443))
REQUEST = Segment(KEY, ACK).encode()
ANSWER = Segment(reverse_key(KEY), ACK).encode()
SERVER = Address("127.0.0.1", 6000)
CALLER_ADDRESS = Address("127.0.0.1", 5000)


class FabricHarness:
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
        self.fabric.add_server("kd-1", ServerAttachment("a", SERVER))
        self.fabric.add_caller(KEY[0:4], CALLER_ADDRESS)

    def spray(self, count=400):
        """Send packets of the caller; return how many each instance gets, by port."""
        self.sent.clear()
        for _ in range(count):
            self.fabric.from_caller(REQUEST)
        return {
            port: [a.port for a in self.sent].count(port) for port in range(7000, 7004)
        }


def test_packets_of_one_flow_reach_all_instances():
    """Guards against a fabric that sends all packets of a flow to one instance.

    Faults that need packets of a flow at several instances would then stay hidden.
    """
    assert min(FabricHarness().spray().values()) > 70


def test_leaving_instance_receives_nothing_but_can_send():
    """Guards against packets to a leaving instance, or the loss of its own packets."""
    harness = FabricHarness()
    leaving = harness.entries[0]
    harness.fabric.set_instances(
        [
            InstanceEntry("i0", "a", leaving.data, leaving.control, True),
            *harness.entries[1:],
        ]
    )
    assert harness.spray()[7000] == 0
    harness.fabric.to_caller(ANSWER, leaving.data)
    assert harness.sent[-1] == CALLER_ADDRESS


def test_partition_drops_packets_until_routers_detect_it():
    """Guards against packets that cross a partition, and against a lasting effect.

    Until the routers detect the partition, packets are lost; then routers use the other
    instances, and all instances again once it has ended.
    """
    harness = FabricHarness()
    harness.fabric.set_rules({(CALLERS, "b"): PathRule(cut=True)})
    counts = harness.spray()
    assert counts[7002] == counts[7003] == 0
    assert harness.fabric.counters["cut"] > 100
    harness.clock.advance(FABRIC_DETECTION_DELAY_S)
    assert sum(harness.spray().values()) == 400
    harness.fabric.set_rules({})
    assert min(harness.spray().values()) > 70


@pytest.mark.parametrize("loss", [0.0, 0.25])
def test_loss_and_delay_apply_only_to_their_path_and_direction(loss):
    """Guards against an impairment of the wrong path or direction."""
    harness = FabricHarness(delay_s=0.003)
    harness.fabric.set_rules({("b", "a"): PathRule(loss=loss, delay_s=0.01)})
    for _ in range(400):
        harness.fabric.to_server("kd-1", REQUEST, harness.entries[2].data)
    harness.fabric.to_server("kd-1", REQUEST, harness.entries[0].data)
    assert len(harness.sent) == 1  # the packet inside the zone
    harness.clock.advance(0.0129)
    harness.fabric.poll(harness.clock.monotonic())
    assert len(harness.sent) == 1
    harness.clock.advance(0.01)
    harness.fabric.poll(harness.clock.monotonic())
    assert abs(len(harness.sent) - 1 - 400 * (1 - loss)) < 40


def test_packets_of_unknown_endpoints_are_counted():
    """Guards against an exception on packets of unknown endpoints."""
    harness = FabricHarness()
    harness.fabric.from_server(ANSWER, CALLER_ADDRESS)
    harness.fabric.to_caller(REQUEST, SERVER)
    harness.fabric.set_instances([])
    harness.fabric.from_caller(REQUEST)
    assert harness.sent == []
    assert harness.fabric.counters == {
        "unknown_source": 1,
        "unknown_caller": 1,
        "no_instance": 1,
    }
