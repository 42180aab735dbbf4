"""Tests of the platform simulator, through the client that instances use."""

from json import dumps
from random import SystemRandom

import pytest
from anyio import create_task_group, fail_after, run
from anyio.lowlevel import checkpoint

from magnoliaslip.config.http_platform import HttpPlatform
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.lab.http_client import fetch_json
from magnoliaslip.lab.platform_server import PlatformServer
from magnoliaslip.lab.platform_store import PlatformMode, PlatformStore
from magnoliaslip.lab.ports import PortPicker
from tests.lab.virtual_net import ListRecorder

CLOCK = SystemClock()


def with_platform(scenario):
    """Run ``scenario(store, admin, reader_a, reader_b)`` against a server."""

    async def main():
        ports = PortPicker(SystemRandom())
        listeners = {group: ports.pick() for group in ("admin", "a", "b")}
        recorder = ListRecorder()
        store = PlatformStore(clock=CLOCK, recorder=recorder)
        readers = [
            HttpPlatform([listeners[zone]], clock=CLOCK, read_timeout_s=0.3)
            for zone in "ab"
        ]
        with fail_after(5):
            async with create_task_group() as tasks:
                await tasks.start(PlatformServer(store, listeners).run)
                await scenario(store, listeners["admin"], *readers)
                tasks.cancel_scope.cancel()
        return recorder

    return run(main)


def test_reads_and_watches_are_answered_and_counted():
    """Guards against a simulator that breaks the protocol of the platform."""

    async def scenario(store, admin, reader, _):
        assert await reader.read("index") is None
        answer = await fetch_json(admin, "PUT", "/lab/values/pools/0", {"version": 1})
        assert answer == {"index": 1}
        value = await reader.read("pools/0")
        assert (value.index, value.data) == (1, b'{"version":1}')
        deadline = CLOCK.monotonic() + 0.1
        assert await reader.watch("pools/0", after=1, deadline=deadline) is None
        async with create_task_group() as tasks:
            tasks.start_soon(expect_newer_value, reader)
            with fail_after(2):
                while store.reads["a"] < 4:
                    await checkpoint()
            store.publish("pools/0", b'{"version":2}')
        reads = await fetch_json(admin, "GET", "/lab/reads")
        assert reads["reads"] == {"a": 4}

    async def expect_newer_value(reader):
        value = await reader.watch("pools/0", after=1, deadline=CLOCK.monotonic() + 4)
        assert value.index == 2

    with_platform(scenario)


def test_modes_apply_to_their_group():
    """Guards against a mode without effect, or with effect on another zone."""

    async def scenario(store, admin, reader_a, reader_b):
        store.publish("zones", dumps({"version": 1, "zones": {"b": "out"}}).encode())
        await fetch_json(admin, "PUT", "/lab/mode", {"mode": "stale", "group": "a"})
        store.publish("zones", b'{"version": 2}')
        assert (await reader_a.read("zones")).index == 1
        assert (await reader_b.read("zones")).index == 2
        for mode in (PlatformMode.DOWN, PlatformMode.UNRESPONSIVE):
            store.set_mode(mode, ["a"])
            with pytest.raises(PlatformError):
                await reader_a.read("zones")
            assert (await reader_b.read("zones")).index == 2
        store.set_mode(PlatformMode.UP, ["a"])
        assert (await reader_a.read("zones")).index == 2
        with pytest.raises(PlatformError, match="400"):
            await fetch_json(admin, "PUT", "/lab/mode", {"mode": "broken"})

    with_platform(scenario)


def test_publication_record_lists_the_zones_that_are_out():
    """Guards against a history without the zones that are out."""

    async def scenario(store, *_):
        store.publish("zones", b'{"version": 1, "zones": {"a": "in", "b": "out"}}')
        store.publish("index", b'{"version": 3, "values": {"zones": 1}}')
        with pytest.raises(ValueError):
            store.publish("index", b"{")

    record = with_platform(scenario).matching("publish")
    assert record == [{"version": 3, "values": {"zones": 1}, "zones_out": ["b"]}]
