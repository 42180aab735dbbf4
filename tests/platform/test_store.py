"""Guards against a store client that hangs, loses pages or decodes them wrongly."""

from contextlib import asynccontextmanager
from json import dumps
from random import Random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet_adapter.store import ERA_HEADER, FleetStoreClient, _Listing
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.http_exchange import HttpClientResponse
from magnoliaslip.core.http_server import HttpResponse, serve_http
from magnoliaslip.lab.ports import PortPicker
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.store_client import (
    HistoryLostError,
    RoutesChange,
    ServerChange,
    StoreBusyError,
)
from tests.platform.fake_store import FakeStore


@asynccontextmanager
async def serve_store(answer):
    """Serve a fake store; yields a client of it."""
    address = PortPicker(Random()).pick()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve_http, address, answer)
        yield FleetStoreClient(address)
        tasks.cancel_scope.cancel()


def run(call_store, answer):
    async def main():
        async with serve_store(answer) as store_client:
            return await call_store(store_client)

    return anyio.run(main)


def test_lists_all_pages():
    fake_store = FakeStore()
    fake_store.put_routes(3, ("198.18.0.1", 443))
    for n in range(1, 6):
        fake_store.put_server(f"i-{n}", ("10.0.0.1", n))

    async def call_store(store_client):
        return await store_client.list()

    batch = run(call_store, fake_store.answer)
    servers = [change.id for change in batch.changes if type(change) is ServerChange]
    assert servers == [f"i-{n}" for n in range(1, 6)]
    assert sum(type(change) is RoutesChange for change in batch.changes) == 1
    assert batch.revision == fake_store.revision


def test_blocking_list_returns_the_same_changes():
    fake_store = FakeStore()
    for n in range(1, 6):
        fake_store.put_server(f"i-{n}", ("10.0.0.1", n))

    async def call_store(store_client):
        blocking = await anyio.to_thread.run_sync(
            lambda: store_client.list_blocking(timeout_s=5.0)
        )
        return blocking, await store_client.list()

    blocking, listed = run(call_store, fake_store.answer)
    assert blocking == listed


def test_watch_returns_changes_and_removals():
    fake_store = FakeStore()
    fake_store.put_server("i-1", ("10.0.0.1", 1))
    start = fake_store.revision
    fake_store.remove("servers/i-1")

    async def call_store(store_client):
        return await store_client.watch(after=start, wait_s=5.0)

    batch = run(call_store, fake_store.answer)
    assert batch.changes == (ServerChange("i-1", None),)


def test_watch_without_changes_ends_with_its_wait():
    fake_store = FakeStore()

    async def call_store(store_client):
        return await store_client.watch(after=fake_store.revision, wait_s=0.05)

    assert run(call_store, fake_store.answer).changes == ()


def test_watch_whose_answer_is_too_long_asks_for_a_list(monkeypatch):
    # Guards against asking for ever more changes since a revision that is never left.
    monkeypatch.setattr("fleet_adapter.store.MAX_BODY_BYTES", 2000)
    fake_store = FakeStore()
    for version in range(8):  # 400 bytes each
        fake_store.put_routes(version, ("198.18.0.1", 8080), ("198.18.0.2", 8080))

    async def call_store(store_client):
        with pytest.raises(HistoryLostError, match="over 2000 bytes"):
            await store_client.watch(after=1, wait_s=5.0)
        return await store_client.list()

    (change,) = run(call_store, fake_store.answer).changes
    assert change.table.version == 7


def test_list_and_watch_have_the_era_of_the_store():
    fake_store = FakeStore()
    fake_store.era = 7

    async def call_store(store_client):
        listed = await store_client.list()
        watched = await store_client.watch(after=fake_store.revision, wait_s=0.05)
        return listed.era, watched.era

    assert run(call_store, fake_store.answer) == (7, 7)


def test_store_without_eras_is_in_era_0():
    async def answer(req):
        return HttpResponse(200, b'{"items": [], "as_of": 3}')

    async def call_store(store_client):
        return await store_client.list()

    assert run(call_store, answer).position == StorePosition(0, 3)


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "9" * 30, "9" * 5000])
def test_era_that_is_no_number_is_a_platform_error(era):
    async def answer(req):
        return HttpResponse(200, b'{"items": [], "as_of": 3}', (("Store-Era", era),))

    async def call_store(store_client):
        with pytest.raises(PlatformError, match="era"):
            await store_client.list()

    run(call_store, answer)


def test_list_whose_pages_are_of_two_eras_is_rejected():
    # Together they are no state that the store ever had.
    fake_store = FakeStore()
    for n in range(1, 6):
        fake_store.put_server(f"i-{n}", ("10.0.0.1", n))

    async def answer(req):
        fake_store.era = 2 if "after" in req.query else 1
        return await fake_store.answer(req)

    async def call_store(store_client):
        with pytest.raises(StoreBusyError, match="era"):
            await store_client.list()

    run(call_store, answer)


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
def test_each_status_raises_its_error(status, error):
    fake_store = FakeStore()
    fake_store.status = status

    async def call_store(store_client):
        with pytest.raises(error):
            await store_client.list()
        with pytest.raises(error):
            await store_client.watch(after=0, wait_s=0.1)

    run(call_store, fake_store.answer)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"items": 5, "as_of": 1}',
        b'{"items": [], "as_of": "x"}',
        b'{"items": [], "as_of": true}',
        b'{"items": [], "as_of": -1}',
        b'{"items": [], "as_of": 18446744073709551616}',
        b'{"items": [5], "as_of": 1}',
        b'{"items": [{"value": ""}], "as_of": 1}',
        b"[" * 100_000,
        # Without its last pages, a list would remove the servers on them.
        b'{"items": [], "as_of": 1, "has_more": true}',
    ],
)
def test_malformed_page_is_a_platform_error(body):
    async def answer(req):
        return HttpResponse(200, body)

    async def call_store(store_client):
        with pytest.raises(PlatformError):
            await store_client.list()

    run(call_store, answer)


def test_unresponsive_store_times_out(monkeypatch):
    monkeypatch.setattr("fleet_adapter.store.READ_TIMEOUT_S", 0.05)

    async def answer(req):
        await anyio.sleep_forever()

    async def call_store(store_client):
        with pytest.raises(PlatformError, match="no answer"):
            await store_client.list()

    run(call_store, answer)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["items", "as_of", "has_more", "key", "value", "removed"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(
    st.binary(max_size=80)
    | JSON.map(lambda value: dumps(value).encode())
    | JSON.map(lambda item: dumps({"items": [item], "as_of": 3}).encode()),
    st.sampled_from([None, b"4"]) | st.binary(max_size=30),
)
def test_any_page_is_decoded_or_a_platform_error(body, era):
    response = HttpClientResponse()
    response.body += body
    if era is not None:
        response.headers[ERA_HEADER] = era
    listing = _Listing()
    try:
        listing.add_page(response)
    except PlatformError:
        return
    batch = listing.changes()
    assert 0 <= batch.revision < 1 << 63 and 0 <= batch.era < 1 << 63
    assert listing.target.isascii()
