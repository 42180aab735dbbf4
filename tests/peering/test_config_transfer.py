import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.errors import PeerError
from magnoliaslip.peering.config_transfer import (
    PIECE_BYTES,
    ConfigSource,
    ReplyAssembly,
    restore_sets,
)
from magnoliaslip.peering.proto.peer_pb2 import ConfigPiece, ConfigReply, ConfigRequest


@pytest.fixture
def clock():
    return ManualClock(start=50.0)


@pytest.fixture
def store(clock):
    store = SnapshotStore(clock=clock)
    for version in (1, 2, 3):
        zones = b'{"version": %d, "zones": {"a": "in"}}' % version
        index = b'{"version": %d, "values": {"zones": %d}}' % (version, version)
        store.offer({"index": index, "zones": zones})
        clock.advance(10)
    return store


def request_config(store, clock, req, instances=b"", version=0):
    assembly = ReplyAssembly()
    piece = ConfigSource(store, clock=clock).piece(req, instances, version)
    assert assembly.add(piece)
    return assembly.reply()


def test_whole_history_is_restored(store, clock):
    reply = request_config(store, clock, ConfigRequest(with_history=True))
    sets = restore_sets(reply, {}, encoded_at=clock.monotonic())
    assert [each.since for each in sets] == pytest.approx([50.0, 60.0, 70.0])
    assert [each.values for each in sets] == [store.values_of(v) for v in (1, 2, 3)]


def test_versions_that_the_peer_has_are_left_out(store, clock):
    # Guards against full transfers at each of 37,000 changes a day.
    reply = request_config(store, clock, ConfigRequest(have_version=2))
    assert [each.version for each in reply.snapshots] == [3]
    sets = restore_sets(reply, store.values_of(2), encoded_at=clock.monotonic())
    assert sets[0].values == store.values_of(3)
    assert not request_config(store, clock, ConfigRequest(have_version=3)).snapshots


def test_reply_from_the_cache_has_the_ages_of_when_it_was_sent(store, clock):
    # Guards against a peer that takes a configuration for newer than it is, by the
    # time that the reply waited in the cache or its pieces took to arrive.
    source = ConfigSource(store, clock=clock)
    req = ConfigRequest(with_history=True)
    source.piece(req, b"", 0)
    clock.advance(4.5)
    assembly = ReplyAssembly()
    assert assembly.add(source.piece(req, b"", 0))
    encoded_at = clock.monotonic() - assembly.age_s
    sets = restore_sets(assembly.reply(), {}, encoded_at=encoded_at)
    assert [each.since for each in sets] == pytest.approx([50.0, 60.0, 70.0])


def test_instances_are_sent_only_when_newer(store, clock):
    req = ConfigRequest(have_version=3, have_instances_version=4)
    assert request_config(store, clock, req, b"list", 5).instances == b"list"
    assert request_config(store, clock, req, b"list", 4).instances == b""


def test_piece_of_an_unknown_transfer_restarts_the_transfer(store, clock):
    # Guards against replies assembled from two different transfers.
    instances = bytes(range(256)) * 16
    incompressible = b"".join(
        (n * 2654435761 % 2**32).to_bytes(4, "big") for n in range(200_000)
    )
    source = ConfigSource(store, clock=clock)
    first = source.piece(ConfigRequest(), instances + incompressible, 1)
    assert first.pieces > 2
    assert len(first.data) == PIECE_BYTES
    req = ConfigRequest(transfer=first.transfer, piece=1, number=8)
    second = source.piece(req, instances + incompressible, 1)
    assert (second.piece, second.number) == (1, 8)
    other = source.piece(req, instances + incompressible[::-1], 2)
    assert other.piece == 0
    assembly = ReplyAssembly()
    for piece in (first, second, second, other):
        assert not assembly.add(piece)
    assert assembly.transfer == other.transfer
    assert assembly.next_piece == 1


def test_replies_with_too_many_pieces_are_rejected():
    # Guards against a peer whose reply exhausts the memory of this process.
    with pytest.raises(PeerError):
        ReplyAssembly().add(ConfigPiece(transfer=1, pieces=10_000))


@settings(deadline=None)
@given(st.binary(max_size=200), st.integers(0, 3), st.integers(0, 3))
def test_damaged_replies_raise_only_peer_error(data, piece, pieces):
    assembly = ReplyAssembly()
    try:
        if assembly.add(ConfigPiece(transfer=1, piece=piece, pieces=pieces, data=data)):
            restore_sets(assembly.reply(), {}, encoded_at=0.0)
    except PeerError:
        pass


@settings(deadline=None)
@given(st.dictionaries(st.sampled_from(["index", "zones"]), st.binary(max_size=60)))
def test_invalid_indexes_raise_only_peer_error(values):
    reply = ConfigReply()
    reply.snapshots.add(version=1, values=values)
    with pytest.raises(PeerError):
        restore_sets(reply, {}, encoded_at=0.0)
