"""Tests of the health monitor with scripted endpoints in virtual time."""

import anyio

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.instance.health import (
    MAX_READS_PER_ROUND,
    READ_INTERVAL_S,
    HealthMonitor,
    HealthReport,
    HealthSource,
)
from magnoliaslip.proof.virtual_loop import VirtualClock, VirtualEventLoop

ADDRESS = Address("127.0.0.1", 6080)


class ScriptedPolledServers:
    def __init__(self, count):
        self.servers = [
            ("rota", BackendServer(f"r-{n}", ADDRESS, "a", health=ADDRESS))
            for n in range(count)
        ]
        self.recorded = []

    def to_poll(self):
        return self.servers

    def record_uptime(self, service, server, uptime_s):
        self.recorded.append((service, server, uptime_s))


class ScriptedSource(HealthSource):
    def __init__(self, report):
        self.report = report

    async def read(self, address):
        await anyio.sleep(0.01)
        return self.report


def run_monitor(polled_servers, report, *, rounds):
    metrics = Metrics()

    async def main():
        monitor = HealthMonitor(
            polled_servers,
            source=ScriptedSource(report),
            clock=VirtualClock(),
            metrics=metrics,
        )
        with anyio.move_on_after(rounds * (READ_INTERVAL_S + 0.01) - 1):
            await monitor.run()

    anyio.run(main, backend_options={"loop_factory": VirtualEventLoop})
    return metrics


def test_large_pools_are_read_in_rotation():
    """Guards against servers of a large pool whose endpoints are never read."""
    polled_servers = ScriptedPolledServers(2 * MAX_READS_PER_ROUND)
    run_monitor(polled_servers, HealthReport(5.0), rounds=2)
    assert len(polled_servers.recorded) == 2 * MAX_READS_PER_ROUND
    assert len({server for _, server, _ in polled_servers.recorded}) == len(
        polled_servers.recorded
    )


def test_unresponsive_endpoint_has_no_effect():
    """Guards against a broken endpoint that puts its server into slow start."""
    polled_servers = ScriptedPolledServers(1)
    metrics = run_monitor(polled_servers, None, rounds=3)
    assert not polled_servers.recorded
    assert metrics.counters["health_unanswered"] == 3
