"""Guards against directories of other instances that are refused or mixed up."""

from random import Random

import anyio
import pytest

from magnoliaslip.core.http_server import HttpResponse, serve_http
from magnoliaslip.gossip.snapshot_fetcher import SNAPSHOT_PATH, SnapshotFetcher
from magnoliaslip.lab.ports import PortPicker
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.snapshot import encode_snapshot
from magnoliaslip.registry.store_client import ChangeBatch, RoutesChange, ServerChange
from tests.steering.harness import routes, server


def directory(revision, era, *names):
    each = Directory()
    servers = [ServerChange(name, server(name)) for name in names]
    each.replace(ChangeBatch(revision, (RoutesChange(routes()), *servers), era=era))
    return each


def fetch(own, other, *, position=None, before=None):
    """Let one directory fetch another; return the queries for it.

    By default, the position that was announced is that of the other one. Another host
    and its position may be announced before.
    """
    address = PortPicker(Random()).pick()
    queries = []

    async def answer(req):
        assert req.path == SNAPSHOT_PATH
        queries.append((int(req.query["era"]), int(req.query["after"])))
        after = StorePosition(*queries[-1])
        return HttpResponse(200, encode_snapshot(other, after=after))

    async def main():
        changed = anyio.Event()
        fetcher = SnapshotFetcher(
            own,
            port=address.port,
            on_change=changed.set,
            watches_store=lambda: False,
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, answer)
            tasks.start_soon(fetcher.run)
            if before is not None:
                fetcher.on_newer_directory(*before)
                await anyio.sleep(0.3)
            fetcher.on_newer_directory(address.host, position or other.position)
            with anyio.move_on_after(2.0):
                await changed.wait()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return queries


@pytest.mark.parametrize("revision", [22, 47, 60])
def test_directory_of_a_later_era_replaces_the_own_one(revision):
    own = directory(47, 1, "i-1", "i-2")
    other = directory(revision, 2, "i-2", "i-3")
    assert fetch(own, other) == [(1, 47)]
    assert own.position == (2, revision)
    assert set(own.servers) == {"i-2", "i-3"}


def test_only_changes_are_fetched_within_an_era():
    own = directory(5, 2, "i-1")
    other = directory(5, 2, "i-1")
    other.apply(ChangeBatch(6, (ServerChange("i-2", server("i-2")),), era=2))
    assert fetch(own, other) == [(2, 5)]
    assert set(own.servers) == {"i-1", "i-2"}


def test_directory_of_a_version_without_eras_is_compared_by_revision():
    own = directory(47, 2, "i-1")
    other = directory(48, 0, "i-2")
    assert fetch(own, other, position=StorePosition(2, 48)) == [(2, 47)]
    assert own.position == (2, 48)
    assert set(own.servers) == {"i-2"}


def test_other_instance_is_asked_when_the_newest_one_does_not_answer(monkeypatch):
    monkeypatch.setattr("magnoliaslip.gossip.snapshot_fetcher.READ_TIMEOUT_S", 0.1)
    own, other = directory(5, 1, "i-1"), directory(7, 1, "i-2")
    gone = ("127.0.0.99", StorePosition(1, 9))
    assert fetch(own, other, before=gone) == [(1, 5)]
    assert own.position == (1, 7)


def test_higher_revision_of_an_earlier_era_is_not_fetched():
    own = directory(22, 2, "i-1")
    assert fetch(own, directory(47, 1, "i-2")) == []
