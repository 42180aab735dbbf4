from random import Random

import pytest

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.lab.backend import BackendServerModel, ServerState
from magnoliaslip.lab.caller import CallerModel
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.lab.protocol import RequestKind
from magnoliaslip.lab.slots import SlotConfig
from magnoliaslip.lab.workload import PlannedRequest, WorkloadConfig
from tests.lab.virtual_net import ListRecorder, VirtualNet

SERVICE_ADDRESS = Address("198.51.100.10", 443)
ORDER = PlannedRequest(RequestKind.ORDER, 200, 300, feed_duration_s=0, think_s=0)
STATUS = PlannedRequest(RequestKind.STATUS, 0, 3000, feed_duration_s=0, think_s=0)
FEED = PlannedRequest(RequestKind.FEED, 0, 10, feed_duration_s=5.0, think_s=0)


class CallerAndServer:
    """One caller and one backend server, connected without a load balancer."""

    def __init__(self, *, cfg=None, cold=False, slot_cfg=None, seed=3, **net):
        self.net = VirtualNet(seed=seed, **net)
        self.recorder = ListRecorder()
        model_options = {"clock": self.net.clock, "recorder": self.recorder}
        self.server = BackendServerModel(
            BackendServer("kd-1", Address("127.0.0.1", 6080), "a", 4, 100),
            "kit-desk",
            addresses=[SERVICE_ADDRESS],
            rng=Random(seed),
            send=self.net.link(lambda packet: self.caller.on_packet(packet)),
            cold=cold,
            slot_cfg=slot_cfg,
            **model_options,
        )
        self.caller = CallerModel(
            "c1",
            "10.1.0.1",
            {"kit-desk": SERVICE_ADDRESS},
            rng=Random(seed + 1),
            send=self.net.link(self.server.on_packet),
            cfg=cfg or WorkloadConfig(sessions_per_s=0),
            **model_options,
        )
        self.net.models = [self.server, self.caller]

    def run(self, seconds=30.0):
        """Run until the caller is idle, at most this long; return its counters."""
        self.net.run(seconds, until=lambda: self.caller.is_idle)
        return self.caller.counters


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_workload_is_answered_in_full(loss):
    """Guards against calls that fail on a healthy server or a lossy network."""
    cfg = WorkloadConfig(
        sessions_per_s=15,
        feed_s=(2, 6),
        mix={RequestKind.FEED: 1, RequestKind.ORDER: 2},
    )
    hosts = CallerAndServer(cfg=cfg, loss=loss, delay=(0.001, 0.01))
    hosts.caller.start()
    hosts.net.run(20)
    hosts.caller.stop()
    counters = hosts.run(40)
    assert counters["calls"] > 500
    assert counters["answered"] == counters["calls"]
    assert counters["flows_broken"] == counters["wrong"] == counters["failed"] == 0
    hosts.net.run(30)
    assert hosts.server.connections == 0
    runs = [r["request"] for r in hosts.recorder.matching("request", phase="start")]
    assert len(runs) == len(set(runs)) == counters["calls"]


def test_same_seed_gives_the_same_history():
    """Guards against unseeded randomness, which would make a fault unreproducible."""
    histories = []
    for _ in range(2):
        hosts = CallerAndServer(
            cfg=WorkloadConfig(sessions_per_s=10), loss=0.05, delay=(0.001, 0.01)
        )
        hosts.caller.start()
        hosts.net.run(5)
        histories.append(hosts.recorder.records)
    assert histories[0] == histories[1]


def test_restart_resets_existing_flows_and_orders_are_not_retried():
    """Guards against an order that runs twice after its server restarted."""
    hosts = CallerAndServer()
    hosts.caller.open_session("kit-desk", [FEED, ORDER])
    hosts.caller.open_session("kit-desk", [ORDER])
    hosts.net.run(0.01)
    hosts.server.restart(cold=True)
    counters = hosts.run()
    orders = [r["request"] for r in hosts.recorder.matching("request", phase="start")]
    assert counters["flows_broken"] == 2
    assert counters["failed_timeout"] == 1  # a waiting caller is not notified
    assert counters["answered"] == 2
    assert sorted(orders) == ["c1-1", "c1-1", "c1-2", "c1-3"]


def test_cold_server_fails_when_loaded_beyond_its_capacity():
    """Guards against a simulated server that would hide a violation of slow start."""
    hosts = CallerAndServer(
        cold=True, slot_cfg=SlotConfig(cold_capacity=1, warm_up_s=10)
    )
    for _ in range(2):
        hosts.caller.open_session("kit-desk", [ORDER])
    hosts.run()
    assert hosts.server.counters["overloaded"] == 1
    states = hosts.recorder.matching("server_state")
    assert [r["bears"] for r in states][:2] == [1, 1]
    hosts.net.run(11)
    assert hosts.server.state is ServerState.WARM


def test_drain_refuses_new_flows_and_keeps_existing_flows():
    """Guards against a drain that breaks existing flows or accepts new ones."""
    hosts = CallerAndServer()
    hosts.caller.open_session("kit-desk", [FEED, ORDER])
    hosts.net.run(1)
    hosts.server.drain()
    hosts.caller.open_session("kit-desk", [ORDER])
    counters = hosts.run()
    assert counters["refused"] == counters["failed_refused"] == 1
    assert counters["answered"] == 2
    hosts.net.run(5)
    assert hosts.server.state is ServerState.STOPPED


@pytest.mark.parametrize("cold", [True, False])
def test_server_that_restarts_after_its_drain_accepts_new_flows(cold):
    # Guards against a server that returns to its pool and refuses everything.
    hosts = CallerAndServer()
    hosts.server.drain()
    hosts.caller.open_session("kit-desk", [ORDER])
    assert hosts.run()["refused"] == 1
    assert hosts.server.state is ServerState.STOPPED
    hosts.server.restart(cold=cold)
    assert hosts.server.state is (ServerState.COLD if cold else ServerState.WARM)
    hosts.caller.open_session("kit-desk", [ORDER])
    assert hosts.run()["answered"] == 1
    states = [r["state"] for r in hosts.recorder.matching("server_state")]
    assert "stopped" in states[:-1] and states[-1] in ("cold", "warm")


def test_busy_server_sheds_and_idempotent_request_is_retried():
    """Guards against a shed request that counts as run or is never retried."""
    hosts = CallerAndServer(slot_cfg=SlotConfig(slots=1, queue=0))
    for plan in (ORDER, ORDER, STATUS):
        hosts.caller.open_session("kit-desk", [plan])
    counters = hosts.run()
    assert counters["shed"] == hosts.server.counters["shed"] > 0
    assert counters["failed_shed"] + counters["answered"] == 3
    assert (
        len(hosts.recorder.matching("request", phase="start")) == counters["answered"]
    )


def test_unresponsive_flows_time_out_while_new_flows_work():
    """Guards against a caller that waits for ever on an unresponsive flow."""
    hosts = CallerAndServer()
    hosts.caller.open_session("kit-desk", [FEED])
    hosts.net.run(1)
    hosts.server.make_flows_unresponsive()
    hosts.caller.open_session("kit-desk", [ORDER])
    counters = hosts.run(60)
    assert counters["answered"] == counters["failed_timeout"] == 1


def test_health_endpoint_gives_wrong_and_stale_reports():
    """Guards against an endpoint that stays accurate in the modes WRONG and STALE."""
    hosts = CallerAndServer(cold=True)
    hosts.net.run(5)
    assert hosts.server.health_report().state == "cold"
    hosts.server.health.mode = HealthMode.WRONG
    assert hosts.server.health_report().state == "warm"
    hosts.server.health.mode = HealthMode.STALE
    hosts.net.run(15)
    assert hosts.server.health_report().uptime_s < 11
    assert hosts.server.health_report().state == "cold"


def test_malformed_and_foreign_packets_are_counted():
    """Guards against malformed or foreign packets that are not counted."""
    hosts = CallerAndServer()
    hosts.caller.open_session("kit-desk", [FEED])
    hosts.net.run(1)
    hosts.server.on_packet(b"\x45 truncated")
    assert hosts.server.counters["malformed"] == 1
    hosts.server._addresses = frozenset()
    hosts.run(2)
    assert hosts.server.counters["foreign"] > 0


def test_retried_feed_ends_before_its_deadline():
    """Guards against a retried feed that outlives its deadline on an intact flow."""
    cfg = WorkloadConfig(sessions_per_s=0, timeout_s=2.0)
    hosts = CallerAndServer(cfg=cfg)
    hosts.caller.open_session("kit-desk", [FEED])
    hosts.net.run(4)
    hosts.server.restart(cold=False)
    counters = hosts.run(20)
    assert counters["retried"] == 1
    assert (counters["answered"], counters["failed"]) == (1, 0)
