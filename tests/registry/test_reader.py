"""Guards against a reader that stops, reverts or misses changes."""

from itertools import pairwise
from logging import WARNING
from random import Random

import anyio

from magnoliaslip.core.errors import PlatformError
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.reader import CHANGE_BATCH_DELAY_S, RegistryReader
from magnoliaslip.registry.store_client import (
    ChangeBatch,
    HistoryLostError,
    ServerChange,
    StoreBusyError,
    StoreClient,
    ZoneChange,
)
from tests.steering.harness import server


class ScriptedStoreClient(StoreClient):
    """Answers calls with scripted results, then blocks."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    def list_blocking(self, *, timeout_s):
        raise AssertionError("an event loop runs")

    async def list(self):
        return await self._next("list")

    async def watch(self, *, after, wait_s):
        return await self._next(after)

    async def _next(self, call):
        if not self.results:
            self.done.set()
            await anyio.sleep_forever()
        self.calls.append(call)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def read(*results):
    """Run a reader over scripted results; return directory and calls."""
    store_client, directory = ScriptedStoreClient(*results), Directory()

    async def main():
        store_client.done = anyio.Event()
        reader = RegistryReader(
            store_client, directory, on_change=lambda: None, rng=Random(1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            await store_client.done.wait()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return directory, store_client.calls


def watch_for_a_second(directory, watch):
    """Run a reader for one second with a function in place of the store's watch."""

    async def main():
        store_client = ScriptedStoreClient()
        store_client.watch = watch
        reader = RegistryReader(
            store_client, directory, on_change=lambda: None, rng=Random(1)
        )
        with anyio.move_on_after(1.0):
            await reader.run()

    anyio.run(main)


def add(name):
    return ServerChange(name, server(name))


def test_follows_the_changes_after_the_list():
    directory, calls = read(
        ChangeBatch(5, (add("i-1"),)), ChangeBatch(6, (add("i-2"),))
    )
    assert set(directory.servers) == {"i-1", "i-2"}
    assert calls == ["list", 5]


def test_lost_history_is_listed_again_without_what_was_removed_meanwhile():
    directory, calls = read(
        ChangeBatch(5, (add("i-1"), ZoneChange("a", out=True))),
        HistoryLostError("gone"),
        ChangeBatch(9, (add("i-2"),)),
    )
    assert set(directory.servers) == {"i-2"}
    assert not directory.zones_out
    assert calls == ["list", 5, "list"]


def test_failed_watch_resumes_at_its_revision():
    directory, calls = read(
        ChangeBatch(5, (add("i-1"),)),
        StoreBusyError("status 429"),
        PlatformError("no answer"),
        ChangeBatch(6, (add("i-2"),)),
    )
    assert calls == ["list", 5, 5, 5]
    assert set(directory.servers) == {"i-1", "i-2"}


def test_list_of_an_older_revision_is_not_applied():
    directory, _ = read(
        ChangeBatch(5, (add("i-1"),)),
        HistoryLostError("gone"),
        ChangeBatch(3, (add("i-2"),)),
        ChangeBatch(7, (add("i-3"),)),
    )
    assert set(directory.servers) == {"i-3"}
    assert directory.revision == 7


def test_restored_store_is_listed_although_its_revision_is_lower():
    # Guards against changes that are not in force until the revision has caught up.
    directory, calls = read(
        ChangeBatch(47, (add("i-1"),), era=1),
        HistoryLostError("gone"),
        ChangeBatch(22, (add("i-2"),), era=2),
        ChangeBatch(23, (add("i-3"),), era=2),
    )
    assert calls == ["list", 47, "list", 22]
    assert set(directory.servers) == {"i-2", "i-3"}
    assert directory.position == (2, 23)


def test_restored_store_is_listed_although_its_revision_is_higher():
    # Guards against changes below the own revision that are missed for good.
    directory, calls = read(
        ChangeBatch(10, (add("i-1"),), era=1),
        ChangeBatch(12, (add("i-3"),), era=2),
        ChangeBatch(12, (add("i-2"), add("i-3")), era=2),
    )
    assert calls == ["list", 10, "list"]
    assert set(directory.servers) == {"i-2", "i-3"}


def test_answer_to_a_watch_from_before_a_new_era_is_not_applied():
    # Guards against changes that are missed for good: the answer has those after the
    # revision of the former era, while another instance has passed on a lower one.
    directory = Directory()
    directory.replace(ChangeBatch(47, (add("i-1"),), era=1))
    calls = []

    async def watch(*, after, wait_s):
        calls.append(after)
        if len(calls) == 1:
            directory.replace(ChangeBatch(44, (add("i-1"),), era=2))
            return ChangeBatch(48, (add("i-3"),), era=2)
        if len(calls) == 2:
            changes = (ServerChange("i-1", None), add("i-2"), add("i-3"))
            return ChangeBatch(48, changes, era=2)
        await anyio.sleep_forever()

    watch_for_a_second(directory, watch)
    assert calls == [47, 44, 48]
    assert set(directory.servers) == {"i-2", "i-3"}


def test_restored_store_is_reported_with_what_the_instance_had(caplog):
    caplog.set_level("INFO")
    read(
        ChangeBatch(47, (add("i-1"),), era=1),
        HistoryLostError("gone"),
        ChangeBatch(22, (add("i-2"),), era=2),
    )
    (line,) = [text for text in caplog.messages if "STORE_RESTORED" in text]
    assert "former_era=1 former_revision=47 era=2 revision=22" in line


def test_first_era_that_is_stated_is_not_reported_as_a_restore(caplog):
    # The directory may come from an instance that states no era.
    caplog.set_level("INFO")
    read(
        ChangeBatch(47, (add("i-1"),)),
        HistoryLostError("gone"),
        ChangeBatch(48, (add("i-2"),), era=1),
    )
    assert not [text for text in caplog.messages if "STORE_RESTORED" in text]


def test_list_of_an_earlier_era_is_not_applied():
    directory, _ = read(
        ChangeBatch(5, (add("i-1"),), era=2),
        HistoryLostError("gone"),
        ChangeBatch(90, (add("i-2"),), era=1),
        ChangeBatch(7, (add("i-3"),), era=2),
    )
    assert set(directory.servers) == {"i-3"}


def test_answers_of_an_earlier_era_are_failed_reads(caplog):
    # Guards against watches in a row without a pause, and without a log line.
    caplog.set_level("INFO")
    directory = Directory()
    directory.replace(ChangeBatch(20, (add("i-1"),), era=9))
    calls = []

    async def watch(*, after, wait_s):
        calls.append(after)
        return ChangeBatch(40, (add("i-2"),), era=2)

    watch_for_a_second(directory, watch)
    assert len(calls) < 12
    assert any("PLATFORM_BUSY" in text for text in caplog.messages)
    assert set(directory.servers) == {"i-1"}


def test_changes_in_a_burst_are_read_together():
    # Guards against one call to the store per server when many are replaced together.
    directory = Directory()
    directory.apply(ChangeBatch(1, (add("i-0"),)))
    moments = []

    async def watch(*, after, wait_s):
        moments.append(anyio.current_time())
        await anyio.sleep(0.01)
        return ChangeBatch(after + 1, (add(f"i-{after}"),))

    watch_for_a_second(directory, watch)
    assert len(moments) <= 4
    assert all(b - a >= CHANGE_BATCH_DELAY_S for a, b in pairwise(moments))


def answers_after(*results):
    """Run a reader; return whether the store answered, and was readable, at the end."""
    store_client, directory = ScriptedStoreClient(*results), Directory()
    found = []

    async def main():
        store_client.done = anyio.Event()
        reader = RegistryReader(
            store_client, directory, on_change=lambda: None, rng=Random(1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            await store_client.done.wait()
            await anyio.sleep(0)
            found.append((reader.store_answers, reader._failing_since is None))
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return found[0]


def test_busy_store_answers_but_cannot_be_read(caplog):
    # Guards against a status and a metric that report a busy store as unavailable.
    caplog.set_level(WARNING, "magnoliaslip.registry.reader")  # others may change it
    listed, busy = ChangeBatch(5, (add("i-1"),)), StoreBusyError("status 429")
    assert answers_after(listed, busy) == (True, False)
    assert "PLATFORM_BUSY" in caplog.text
    assert "PLATFORM_DOWN" not in caplog.text
    assert answers_after(listed, PlatformError("no answer"), busy) == (True, False)
    assert answers_after(listed, busy, PlatformError("no answer")) == (False, False)
    assert answers_after(listed, busy, ChangeBatch(6, ())) == (True, True)


def test_store_that_is_busy_for_long_is_left_to_others(monkeypatch):
    # An instance that gets only refusals does not watch the store for its zone.
    monkeypatch.setattr("magnoliaslip.registry.reader.STORE_FAILURE_TOLERANCE_S", 0)
    reader = RegistryReader(None, Directory(), on_change=print, rng=Random(1))
    assert reader.reads_store
    anyio.run(reader._back_off, StoreBusyError("status 503"))
    assert reader.store_answers and not reader.reads_store
    reader._record_success()
    assert reader.reads_store
