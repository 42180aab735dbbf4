from random import Random

import pytest

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.lab.backend import BackendServerModel, ServerState
from magnoliaslip.lab.caller import CallerModel
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.lab.protocol import Kind
from magnoliaslip.lab.slots import SlotConfig
from magnoliaslip.lab.workload import PlannedRequest, WorkloadConfig
from tests.lab.virtual_net import ListRecorder, VirtualNet

VIP = Address("198.51.100.10", 443)
ORDER = PlannedRequest(Kind.ORDER, 200, 300, feed_duration_s=0, think_s=0)
STATUS = PlannedRequest(Kind.STATUS, 0, 3000, feed_duration_s=0, think_s=0)
FEED = PlannedRequest(Kind.FEED, 0, 10, feed_duration_s=5.0, think_s=0)


class World:
    """One caller and one backend server with nothing in between."""

    def __init__(self, *, cfg=None, cold=False, slot_cfg=None, seed=3, **net):
        self.net = VirtualNet(seed=seed, **net)
        self.recorder = ListRecorder()
        common = {"clock": self.net.clock, "recorder": self.recorder}
        self.server = BackendServerModel(
            BackendServer("kd-1", Address("127.0.0.1", 6080), "a", 4, 100),
            "kit-desk",
            addresses=[VIP],
            rng=Random(seed),
            send=self.net.link(lambda packet: self.caller.on_packet(packet)),
            cold=cold,
            slot_cfg=slot_cfg,
            **common,
        )
        self.caller = CallerModel(
            "c1",
            "10.1.0.1",
            {"kit-desk": VIP},
            rng=Random(seed + 1),
            send=self.net.link(self.server.on_packet),
            cfg=cfg or WorkloadConfig(sessions_per_s=0),
            **common,
        )
        self.net.models = [self.server, self.caller]

    def run(self, seconds=30.0):
        self.net.run(seconds, until=lambda: self.caller.is_idle)
        return self.caller.counters


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_load_is_answered_in_full(loss):
    """Guards against calls that a healthy server and a lossy network break."""
    cfg = WorkloadConfig(
        sessions_per_s=15, feed_s=(2, 6), mix={Kind.FEED: 1, Kind.ORDER: 2}
    )
    world = World(cfg=cfg, loss=loss, delay=(0.001, 0.01))
    world.caller.start()
    world.net.run(20)
    world.caller.stop()
    counters = world.run(40)
    assert counters["calls"] > 500
    assert counters["answered"] == counters["calls"]
    assert counters["flows_broken"] == counters["wrong"] == counters["failed"] == 0
    world.net.run(30)
    assert world.server.connections == 0
    runs = [r["request"] for r in world.recorder.matching("request", phase="start")]
    assert len(runs) == len(set(runs)) == counters["calls"]


def test_same_seed_gives_the_same_history():
    """Guards against hidden randomness, which would make a fault unrepeatable."""
    histories = []
    for _ in range(2):
        world = World(
            cfg=WorkloadConfig(sessions_per_s=10), loss=0.05, delay=(0.001, 0.01)
        )
        world.caller.start()
        world.net.run(5)
        histories.append(world.recorder.records)
    assert histories[0] == histories[1]


def test_restart_resets_known_flows_and_orders_are_not_repeated():
    """Guards against an order that runs twice after its server restarted."""
    world = World()
    world.caller.open_session("kit-desk", [FEED, ORDER])
    world.caller.open_session("kit-desk", [ORDER])
    world.net.run(0.01)
    world.server.restart(cold=True)
    counters = world.run()
    orders = [r["request"] for r in world.recorder.matching("request", phase="start")]
    assert counters["flows_broken"] == 2
    assert counters["failed_timeout"] == 1  # nothing tells a waiting caller
    assert counters["answered"] == 2
    assert sorted(orders) == ["c1-1", "c1-1", "c1-2", "c1-3"]


def test_cold_server_fails_when_loaded_over_what_it_bears():
    """Guards against a stand-in that would hide a violated slow start."""
    world = World(cold=True, slot_cfg=SlotConfig(cold_bears=1, warm_up_s=10))
    for _ in range(2):
        world.caller.open_session("kit-desk", [ORDER])
    world.run()
    assert world.server.counters["overloaded"] == 1
    states = world.recorder.matching("server_state")
    assert [r["bears"] for r in states][:2] == [1, 1]
    world.net.run(11)
    assert world.server.state is ServerState.WARM


def test_drain_refuses_opens_and_keeps_flows():
    """Guards against a drain that breaks flows or takes new ones."""
    world = World()
    world.caller.open_session("kit-desk", [FEED, ORDER])
    world.net.run(1)
    world.server.drain()
    world.caller.open_session("kit-desk", [ORDER])
    counters = world.run()
    assert counters["refused"] == counters["failed_refused"] == 1
    assert counters["answered"] == 2
    world.net.run(5)
    assert world.server.state is ServerState.STOPPED


def test_busy_server_sheds_and_idempotent_request_is_tried_again():
    """Guards against a shed request that counts as run, or is never tried again."""
    world = World(slot_cfg=SlotConfig(slots=1, queue=0))
    for plan in (ORDER, ORDER, STATUS):
        world.caller.open_session("kit-desk", [plan])
    counters = world.run()
    assert counters["shed"] == world.server.counters["shed"] > 0
    assert counters["failed_shed"] + counters["answered"] == 3
    assert (
        len(world.recorder.matching("request", phase="start")) == counters["answered"]
    )


def test_silent_flows_time_out_while_new_flows_work():
    """Guards against a caller that waits for ever on a silent connection."""
    world = World()
    world.caller.open_session("kit-desk", [FEED])
    world.net.run(1)
    world.server.silence_flows()
    world.caller.open_session("kit-desk", [ORDER])
    counters = world.run(60)
    assert counters["answered"] == counters["failed_timeout"] == 1


def test_health_lies_and_lags():
    """Guards against a stand-in whose misleading endpoint is truthful."""
    world = World(cold=True)
    world.net.run(5)
    assert world.server.health_report().state == "cold"
    world.server.health.mode = HealthMode.LYING
    assert world.server.health_report().state == "warm"
    world.server.health.mode = HealthMode.LAGGING
    world.net.run(15)
    assert world.server.health_report().uptime_s < 11
    assert world.server.health_report().state == "cold"


def test_stray_packets_are_answered_or_counted():
    """Guards against an unknown segment that is ignored in place of reset."""
    world = World()
    world.caller.open_session("kit-desk", [FEED])
    world.net.run(1)
    world.server.on_packet(b"\x45 truncated")
    assert world.server.counters["malformed"] == 1
    world.server._addresses = frozenset()
    world.run(2)
    assert world.server.counters["foreign"] > 0


def test_retried_feed_ends_before_its_deadline():
    """Guards against a retried feed that outlives its deadline on an intact flow."""
    cfg = WorkloadConfig(sessions_per_s=0, timeout_s=2.0)
    world = World(cfg=cfg)
    world.caller.open_session("kit-desk", [FEED])
    world.net.run(4)
    world.server.restart(cold=False)
    counters = world.run(20)
    assert counters["retried"] == 1
    assert (counters["answered"], counters["failed"]) == (1, 0)
