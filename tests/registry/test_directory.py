"""Guards against directories that revert, or differ between instances."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from magnoliaslip.core.errors import PeerError
from magnoliaslip.gossip.digest import DIGEST_FORMAT, Digest, encode_digest
from magnoliaslip.registry.directory import MAX_HISTORY_ENTRIES, Directory
from magnoliaslip.registry.snapshot import decode_snapshot, encode_snapshot
from magnoliaslip.registry.store_client import (
    ChangeBatch,
    RoutesChange,
    ServerChange,
    UnreadableEntry,
    ZoneChange,
)
from magnoliaslip.steering.servers import ServerSet
from tests.steering.harness import LAB_ENDPOINT, routes, server


def add(name, **fields):
    return ServerChange(name, server(name, **fields))


def state(directory):
    return (
        directory.position,
        directory.table,
        directory.servers,
        directory.zones_out,
    )


def synchronize(source, target):
    """Bring a directory to the state of another one, as instances do.

    Returns whether the complete directory was transferred.
    """
    snapshot = decode_snapshot(encode_snapshot(source, after=target.position))
    apply_changes = target.replace if snapshot.complete else target.apply
    assert apply_changes(snapshot.batch)
    return snapshot.complete


def test_older_revision_changes_nothing():
    directory = Directory()
    directory.apply(ChangeBatch(5, (add("i-1"),)))
    assert not directory.apply(ChangeBatch(4, (ServerChange("i-1", None),)))
    assert not directory.replace(ChangeBatch(4, ()))
    assert set(directory.servers) == {"i-1"}


def test_older_routes_of_a_list_are_not_applied():
    directory = Directory()
    directory.apply(ChangeBatch(5, (RoutesChange(routes(version=7)),)))
    directory.replace(
        ChangeBatch(6, (RoutesChange(routes(version=6, endpoints=[LAB_ENDPOINT])),))
    )
    assert directory.table.version == 7


def test_unreadable_registration_removes_the_server():
    directory = Directory()
    directory.apply(ChangeBatch(5, (add("i-1"),)))
    directory.apply(ChangeBatch(6, (UnreadableEntry("k", "broken", server_id="i-1"),)))
    assert not directory.servers


def test_random_changes_give_the_same_state_on_another_instance():
    rng = Random(7)
    source, target = Directory(), Directory()
    names = [f"i-{n}" for n in range(6)]
    partial = 0
    for revision in range(1, 400):
        name = rng.choice(names)
        change = rng.choice(
            [
                add(name, started_ms=revision, draining=rng.random() < 0.3),
                ServerChange(name, None),
                ZoneChange(rng.choice("ab"), out=rng.random() < 0.5),
                RoutesChange(routes(version=revision)),
                UnreadableEntry("k", "broken", server_id=name),
            ]
        )
        source.apply(ChangeBatch(revision, (change,)))
        if rng.random() < 0.2:
            partial += not synchronize(source, target)
            assert state(source) == state(target)
    assert partial > 50


def test_list_of_a_restored_store_replaces_a_higher_revision():
    # Guards against an instance that refuses all changes until the revisions that are
    # given out again exceed the ones it has.
    directory = Directory()
    directory.replace(ChangeBatch(47, (add("i-1"), add("i-2")), era=1))
    assert directory.replace(ChangeBatch(22, (add("i-2"), add("i-3")), era=2))
    assert set(directory.servers) == {"i-2", "i-3"}
    assert directory.apply(ChangeBatch(23, (ServerChange("i-2", None),), era=2))
    assert not directory.replace(ChangeBatch(48, (add("i-1"),), era=1))
    assert set(directory.servers) == {"i-3"}


def test_changes_of_another_era_are_not_applied():
    # They follow a state that the directory does not have, whatever their revision.
    directory = Directory()
    directory.replace(ChangeBatch(10, (add("i-1"),), era=2))
    for era in (1, 3):
        batch = ChangeBatch(11, (ServerChange("i-1", None),), era=era)
        assert not directory.apply(batch)
    assert set(directory.servers) == {"i-1"}
    assert directory.position == (2, 10)


def test_routes_of_an_older_copy_are_not_applied():
    directory = Directory()
    directory.replace(ChangeBatch(47, (RoutesChange(routes(version=7)),), era=1))
    directory.replace(ChangeBatch(22, (RoutesChange(routes(version=6)),), era=2))
    assert directory.table.version == 7


def test_changes_since_a_revision_of_an_earlier_era_are_unknown():
    source, target = Directory(), Directory()
    source.replace(ChangeBatch(20, (add("i-1"), add("i-2")), era=1))
    synchronize(source, target)
    source.replace(ChangeBatch(15, (add("i-1"),), era=2))
    for revision in range(16, 25):
        added = add("i-3", started_ms=revision)
        source.apply(ChangeBatch(revision, (added,), era=2))
    assert synchronize(source, target)
    assert set(target.servers) == {"i-1", "i-3"}


def test_instances_agree_when_the_store_is_restored_at_random_moments():
    rng = Random(11)
    source, target = Directory(), Directory()
    copy, era, revision, version = {}, 1, 1, 1
    published = {}
    source.replace(ChangeBatch(1, (), era=era))
    partial = 0
    for step in range(600):
        if rng.random() < 0.05:
            copy = dict(published)
            copied_at = revision
        if copy and rng.random() < 0.05:
            published, era, revision = dict(copy), era + 1, copied_at
            items = (
                RoutesChange(routes(version=version)),
                *(ServerChange(name, each) for name, each in published.items()),
            )
            source.replace(ChangeBatch(revision, items, era=era))
        revision += 1
        name = f"i-{rng.randrange(6)}"
        if rng.random() < 0.2:
            version += 1
            change = RoutesChange(routes(version=version))
        elif rng.random() < 0.3:
            published.pop(name, None)
            change = ServerChange(name, None)
        else:
            change = add(name, started_ms=step)
            published[name] = change.server
        source.apply(ChangeBatch(revision, (change,), era=era))
        if rng.random() < 0.2 and source.position > target.position:
            partial += not synchronize(source, target)
            assert state(source) == state(target)
            assert target.servers == published
            assert target.table is None or target.table.version == version
    assert era > 5
    assert partial > 50


def test_instance_beyond_the_history_gets_the_complete_directory():
    source, target = Directory(), Directory()
    source.apply(ChangeBatch(1, (add("i-1"),)))
    synchronize(source, target)
    for revision in range(2, MAX_HISTORY_ENTRIES + 10):
        source.apply(ChangeBatch(revision, (add("i-2", started_ms=revision),)))
    assert synchronize(source, target)
    assert state(source) == state(target)


def test_history_before_a_new_list_is_not_used():
    source, target = Directory(), Directory()
    source.apply(ChangeBatch(1, (add("i-1"), add("i-2"))))
    synchronize(source, target)
    source.replace(ChangeBatch(9, (add("i-2"),)))
    assert synchronize(source, target)
    assert set(target.servers) == {"i-2"}


@given(st.binary(max_size=100))
def test_any_document_is_decoded_or_rejected(data):
    with pytest.raises(PeerError):
        decode_snapshot(data)


def document(**fields):
    """Return a complete snapshot of one server, with some fields replaced."""
    target = ["desk", fields.get("weight", 1.0)]
    route = [fields.get("endpoint", 5), 443, [target], True]
    table = [fields.get("version", 7), 15.0, [route], [["desk", 2.0, 0]]]
    started, address = fields.get("started_ms", 0), fields.get("host", "10.0.0.1")
    item = ["i-1", started, "desk", address, fields.get("port", 80), "a"]
    item += [fields.get("slots", 4), False, fields.get("cold_ms", 0)]
    revision, era = fields.get("revision", 3), fields.get("era", 1)
    return encode([revision, True, table, [], [], [item], [], era])


def test_valid_document_is_decoded():
    decoded = decode_snapshot(document())
    assert decoded.batch.position == (1, 3)


@pytest.mark.parametrize(
    ("field", "values"),
    [
        ("revision", [-1, 1 << 63, 10**30]),
        ("era", [-1, 1 << 63]),
        ("version", [1 << 63, -(10**30)]),
        ("endpoint", [-1, 1 << 32]),
        ("weight", [0, -1.0, -1e308]),
        ("started_ms", [1 << 63, -(1 << 63)]),
        ("host", ["", "example.invalid", "10.0.0.256", "a\0b", "\u00e9"]),
        ("port", [0, -1, 1 << 16]),
        ("slots", [-1, 1 << 63]),
        ("cold_ms", [-1, 10**30]),
    ],
)
def test_field_that_no_instance_can_use_is_rejected(field, values):
    # Guards against a directory whose position no digest can contain, and against a
    # host that has to be resolved for each packet.
    for value in values:
        with pytest.raises(PeerError):
            decode_snapshot(document(**{field: value}))


NUMBERS = st.integers(-(2**65), 2**65) | st.floats(allow_nan=False)
VALUES = NUMBERS | st.text(max_size=4) | st.none() | st.lists(NUMBERS, max_size=2)


FIELDS = ("revision", "era", "version", "endpoint", "weight", "started_ms", "host")


@given(st.dictionaries(st.sampled_from([*FIELDS, "port", "slots"]), VALUES, max_size=3))
def test_any_values_are_rejected_or_can_be_used_and_passed_on(values):
    try:
        snapshot = decode_snapshot(document(**values))
    except PeerError:
        return
    directory = Directory()
    directory.replace(snapshot.batch)
    servers = ServerSet(retention_s=60)
    servers.apply(directory, 100.0)
    position = directory.position
    encode_digest(Digest(DIGEST_FORMAT, "a", 1, position.revision, era=position.era))
    copy = Directory()
    copy.replace(decode_snapshot(encode_snapshot(directory)).batch)
    assert copy.servers == directory.servers
