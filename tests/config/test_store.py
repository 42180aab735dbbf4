"""Guards against configurations that revert, mix versions, or lose history."""

from logging import ERROR, WARNING

import pytest

from magnoliaslip.config.store import PublishedSet, SnapshotStore
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.errors import ConfigError, StaleConfigError
from tests.config.published import POOL, SERVER, publish

DRAINING = [POOL | {"servers": [SERVER | {"drain": True}]}]


@pytest.fixture
def clock():
    return ManualClock(start=10_000.0)


@pytest.fixture
def store(clock):
    return SnapshotStore(clock=clock, history_window_s=3600.0)


def versions(store):
    return [entry.snapshot.version for entry in store.history]


def test_older_and_equal_versions_never_replace_the_one_in_force(store):
    assert store.offer(publish(5)).version == 5
    assert store.offer(publish(4)) is None
    assert store.offer(publish(5)) is None
    assert store.version == 5


def test_equal_version_with_other_content_is_one_error_event(store, caplog):
    store.offer(publish(5))
    with caplog.at_level(WARNING):
        for _ in range(3):
            assert store.offer(publish(5, pools=DRAINING)) is None
    assert [record.levelno for record in caplog.records] == [ERROR]
    assert "MS216" in caplog.text
    assert not store.snapshot.pools["kit-desk"].servers[0].drain


@pytest.mark.parametrize(
    "values",
    [
        {"index": publish(5, versions={"zones": 6})["index"]},
        publish(5) | {"zones": b"?"},
        publish(5, versions={"zones": 6}),
    ],
)
def test_any_other_content_of_the_version_in_force_is_a_conflict(store, caplog, values):
    """Guards against an exception for an equal version, as for a newer invalid set.

    MS203 is the number of the event CONFIG_CONFLICT.
    """
    store.offer(publish(5))
    assert store.offer(values) is None
    assert "MS203" in caplog.text


def test_shard_ahead_of_the_index_in_force_is_no_conflict(store, caplog):
    """Guards against an error event in the middle of a publication."""
    store.offer(publish(5))
    assert store.offer(publish(5) | {"zones": publish(6)["zones"]}) is None
    assert "MS203" not in caplog.text


def test_equal_version_with_other_layout_is_no_event(store, caplog):
    store.offer(publish(5))
    spaced = publish(5)["pools/0"].replace(b":", b": ")
    assert store.offer(publish(5) | {"pools/0": spaced}) is None
    assert not [record for record in caplog.records if record.levelno >= WARNING]


def test_invalid_set_is_rejected_as_a_whole(store, caplog):
    """Guards against a partially applied set: its valid zones must not be used."""
    store.offer(publish(5))
    with pytest.raises(ConfigError):
        store.offer(publish(6, zones={"a": "out"}, pools=[]))
    assert store.version == 5
    assert not store.snapshot.zones_out
    assert "CONFIG_REJECTED" in caplog.text


def test_table_whose_version_went_down_is_stale(store):
    store.offer(publish(5))
    with pytest.raises(StaleConfigError):
        store.offer(publish(6, versions={"zones": 4}))
    assert store.version == 5


def test_changed_table_with_the_same_version_is_rejected(store):
    store.offer(publish(5))
    with pytest.raises(ConfigError, match="MS216"):
        store.offer(publish(6, versions={"pools/0": 5}, pools=DRAINING))


def test_unchanged_tables_may_be_omitted(store):
    store.offer(publish(5))
    values = publish(6, versions={"routes/0": 5, "pools/0": 5})
    assert store.keys_to_read(values["index"]) == ("zones",)
    partial = {"index": values["index"], "zones": values["zones"]}
    assert store.offer(partial).version == 6
    assert store.values_of(6) == values
    assert store.values_of(4) is None


def test_history_starts_with_the_version_in_force_one_window_ago(store, clock):
    store.offer(publish(1))
    clock.advance(100)
    store.offer(publish(2))
    clock.advance(3599)
    assert versions(store) == [1, 2]
    clock.advance(1)
    assert versions(store) == [2]
    assert store.expire()
    assert not store.expire()
    clock.advance(1e6)
    assert versions(store) == [2]


def test_peer_history_extends_but_never_reverts(store, clock):
    now = clock.monotonic()
    seen = []
    store.subscribe(lambda history: seen.append([e.snapshot.version for e in history]))
    store.offer(publish(5))
    sets = [PublishedSet(publish(n), now - age) for n, age in ((3, 9000), (4, 60))]
    assert store.merge_history(sets)
    assert not store.merge_history(sets)
    assert store.version == 5
    assert seen == [[5], [3, 4, 5]]
    assert [entry.since for entry in store.history] == [now - 9000, now - 60, now]


def test_empty_store_adopts_newest_set_of_peer_in_one_step(store, clock):
    """Guards against an old version that is briefly in force while joining."""
    now = clock.monotonic()
    seen = []
    store.subscribe(lambda history: seen.append([e.snapshot.version for e in history]))
    store.merge_history(
        [
            PublishedSet(publish(1), now - 8000),
            PublishedSet(publish(2), now - 7000),
            PublishedSet({"index": b"?"}, now - 50),
            PublishedSet(publish(3), now - 60),
        ]
    )
    assert seen == [[2, 3]]


def test_earlier_time_of_a_held_version_counts(store, clock):
    """Guards against instances that remove a version at very different times."""
    now = clock.monotonic()
    store.offer(publish(1), since=now - 50)
    store.offer(publish(2))
    assert store.merge_history([PublishedSet(publish(2), now - 100)])
    assert [entry.since for entry in store.history] == [now - 100, now - 100]


def test_versions_in_force_are_recorded(clock):
    class ListRecorder:
        records = []

        def record(self, kind, **fields):
            self.records.append((kind, fields))

    store = SnapshotStore(clock=clock, recorder=ListRecorder())
    store.offer(publish(2, zones={"a": "in", "b": "out"}))
    assert ListRecorder.records == [("config", {"version": 2, "zones_out": ["b"]})]
