"""Guards against a store client that misreads, hangs or loses pages."""

from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from fleet_adapter.store import FleetStore
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.http_server import HttpResponse, serve_http
from magnoliaslip.lab.ports import PortPicker
from magnoliaslip.registry.source import (
    HistoryLostError,
    RoutesChange,
    ServerChange,
    StoreBusyError,
)
from tests.platform.store_stand_in import StoreStandIn


@asynccontextmanager
async def serving(answer):
    """Serve a stand-in; yields a client of it."""
    address = PortPicker(Random()).pick()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve_http, address, answer)
        yield FleetStore(address)
        tasks.cancel_scope.cancel()


def run(function, answer):
    async def main():
        async with serving(answer) as store:
            return await function(store)

    return anyio.run(main)


def test_lists_all_pages():
    stand_in = StoreStandIn()
    stand_in.put_routes(3, ("198.18.0.1", 443))
    for n in range(1, 6):
        stand_in.put_server(f"i-{n}", ("10.0.0.1", n))

    async def act(store):
        return await store.list()

    changes = run(act, stand_in.answer)
    servers = [change.id for change in changes.changes if type(change) is ServerChange]
    assert servers == [f"i-{n}" for n in range(1, 6)]
    assert sum(type(change) is RoutesChange for change in changes.changes) == 1
    assert changes.revision == stand_in.revision


def test_blocking_list_is_the_same():
    stand_in = StoreStandIn()
    for n in range(1, 6):
        stand_in.put_server(f"i-{n}", ("10.0.0.1", n))

    async def act(store):
        blocking = await anyio.to_thread.run_sync(
            lambda: store.list_blocking(timeout_s=5.0)
        )
        return blocking, await store.list()

    blocking, listed = run(act, stand_in.answer)
    assert blocking == listed


def test_watch_brings_changes_and_removals():
    stand_in = StoreStandIn()
    stand_in.put_server("i-1", ("10.0.0.1", 1))
    start = stand_in.revision
    stand_in.remove("servers/i-1")

    async def act(store):
        return await store.watch(after=start, wait_s=5.0)

    changes = run(act, stand_in.answer)
    assert changes.changes == (ServerChange("i-1", None),)


def test_watch_without_changes_ends_with_its_wait():
    stand_in = StoreStandIn()

    async def act(store):
        return await store.watch(after=stand_in.revision, wait_s=0.05)

    assert run(act, stand_in.answer).changes == ()


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (410, HistoryLostError),
        (429, StoreBusyError),
        (503, StoreBusyError),
        (500, PlatformError),
        (404, PlatformError),
    ],
)
def test_status_is_told_apart(status, error):
    stand_in = StoreStandIn()
    stand_in.status = status

    async def act(store):
        with pytest.raises(error):
            await store.list()
        with pytest.raises(error):
            await store.watch(after=0, wait_s=0.1)

    run(act, stand_in.answer)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"items": 5, "as_of": 1}',
        b'{"items": [], "as_of": "x"}',
        b'{"items": [5], "as_of": 1}',
        b'{"items": [{"value": ""}], "as_of": 1}',
        b"[" * 100_000,
    ],
)
def test_faulty_page_is_a_platform_error(body):
    async def answer(req):
        return HttpResponse(200, body)

    async def act(store):
        with pytest.raises(PlatformError):
            await store.list()

    run(act, answer)


def test_silent_store_is_given_up(monkeypatch):
    monkeypatch.setattr("fleet_adapter.store.READ_TIMEOUT_S", 0.05)

    async def answer(req):
        await anyio.sleep_forever()

    async def act(store):
        with pytest.raises(PlatformError, match="no answer"):
            await store.list()

    run(act, answer)
