"""Transfer of snapshots, history and the instance list between peers.

A reply holds sets of published values, each as its difference to the set before.
It is compressed and split into pieces. The requesting instance pulls one piece after
another, so a lost piece costs one retry and no queue holds a whole reply.
"""

from collections.abc import Mapping, Sequence
from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from google.protobuf.message import DecodeError
from xxhash import xxh3_64_intdigest

from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.config.store import PublishedSet, SnapshotStore
from magnoliaslip.config.tables import INDEX_KEY, parse_index
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import ConfigError, PeerError
from magnoliaslip.peering.proto.peer_pb2 import (
    ConfigPiece,
    ConfigReply,
    ConfigRequest,
    ConfigValues,
)

PIECE_BYTES = 256 * 1024  # well below the limit of 1 MB per message
MAX_PIECES = 64
MAX_REPLY_BYTES = 32 * 1024 * 1024  # decompressed; bounds the memory of a faulty reply
COMPRESSION_LEVEL = 1  # higher levels delay the data path and gain little on JSON
REPLY_CACHE_TTL_S = 5.0
MAX_CACHED_REPLIES = 4  # of different requests


class ConfigSource:
    """Answers configuration requests of peers from the store.

    Args:
        store: Holds the values.
        clock: Source of monotonic time.
    """

    __slots__ = ("_clock", "_reply_cache", "_store")

    def __init__(self, store: SnapshotStore, *, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        # When each reply was encoded, its hash and its bytes.
        self._reply_cache: dict[tuple, tuple[float, int, bytes]] = {}

    def piece(
        self, req: ConfigRequest, instances: bytes, instances_version: int
    ) -> ConfigPiece:
        """Return the requested piece of the reply.

        Args:
            req: The request.
            instances: The list of instances as published; may be empty.
            instances_version: Its version.

        Returns:
            The requested piece, or piece 0 when the request names another transfer
            than the current reply or a piece beyond its end.
        """
        wanted = instances if instances_version > req.have_instances_version else b""
        encoded_at, transfer, data = self._encoded_reply(req, wanted, instances_version)
        pieces = max(1, -(-len(data) // PIECE_BYTES))
        piece_number = (
            req.piece if req.transfer == transfer and req.piece < pieces else 0
        )
        return ConfigPiece(
            transfer=transfer,
            piece=piece_number,
            pieces=pieces,
            number=req.number,
            age_ms=int((self._clock.monotonic() - encoded_at) * 1000),
            data=data[piece_number * PIECE_BYTES : (piece_number + 1) * PIECE_BYTES],
        )

    def _encoded_reply(
        self, req: ConfigRequest, instances: bytes, instances_version: int
    ) -> tuple[float, int, bytes]:
        """Return time of encoding, hash and bytes of a reply, cached if possible."""
        now = self._clock.monotonic()
        history = self._store.history
        key = (
            req.have_version,
            req.with_history,
            req.have_instances_version,
            history[-1].snapshot.version if history else 0,
            instances_version,
        )
        self._reply_cache = {
            k: e for k, e in self._reply_cache.items() if now < e[0] + REPLY_CACHE_TTL_S
        }
        cached = self._reply_cache.get(key)
        if cached is None:
            snapshots = self._value_sets(req, history, now)
            reply = ConfigReply(snapshots=snapshots, instances=instances)
            data = compress(reply.SerializeToString(), COMPRESSION_LEVEL)
            if len(self._reply_cache) >= MAX_CACHED_REPLIES:
                del self._reply_cache[next(iter(self._reply_cache))]
            cached = self._reply_cache[key] = (
                now,
                xxh3_64_intdigest(data),
                data,
            )
        return cached

    def _value_sets(
        self, req: ConfigRequest, history: Sequence[HistoryEntry], now: float
    ) -> list[ConfigValues]:
        base = self._store.values_of(req.have_version) or {}
        entries = [
            entry
            for entry in history
            if req.with_history or entry.snapshot.version > req.have_version
        ]
        # Without the requested version as a base, only the set in force is sent.
        if not req.with_history and not base:
            entries = entries[-1:]
        sets = []
        for entry in entries:
            values = self._store.values_of(entry.snapshot.version) or {}
            changed = {key: v for key, v in values.items() if base.get(key) != v}
            age_ms = max(0, int((now - entry.since) * 1000))
            version = entry.snapshot.version
            sets.append(ConfigValues(version=version, values=changed, age_ms=age_ms))
            base = values
        return sets


class ReplyAssembly:
    """Collects the pieces of one reply.

    Attributes:
        transfer: Hash of the reply, as named in its pieces; 0 before the first piece.
        age_s: Age of the reply in seconds when its latest piece was sent.

    >>> assembly = ReplyAssembly()
    >>> assembly.add(ConfigPiece(transfer=7, piece=0, pieces=1, data=b"x"))
    True
    """

    __slots__ = ("_piece_count", "_piece_data", "age_s", "transfer")

    def __init__(self) -> None:
        self.transfer = 0
        self.age_s = 0.0
        self._piece_count = 0
        self._piece_data: list[bytes] = []

    @property
    def next_piece(self) -> int:
        """Number of the next piece to request."""
        return len(self._piece_data)

    def add(self, piece: ConfigPiece) -> bool:
        """Add the next piece; piece 0 of another transfer restarts the reply.

        Any other piece is ignored.

        Returns:
            Whether the reply is complete.

        Raises:
            PeerError: The reply has too many pieces.
        """
        if piece.pieces > MAX_PIECES:
            raise PeerError(
                f"the reply has {piece.pieces} pieces; at most {MAX_PIECES} are allowed"
            )
        if piece.piece == 0 and piece.transfer != self.transfer:
            self.transfer, self._piece_count, self._piece_data = (
                piece.transfer,
                piece.pieces,
                [],
            )
        if piece.transfer == self.transfer and piece.piece == len(self._piece_data):
            self._piece_data.append(piece.data)
            self.age_s = piece.age_ms / 1000
        return len(self._piece_data) == self._piece_count > 0

    def reply(self) -> ConfigReply:
        """Decompress and decode the complete reply.

        Raises:
            PeerError: The reply is damaged or too large.
        """
        decompressor = decompressobj()
        try:
            data = decompressor.decompress(b"".join(self._piece_data), MAX_REPLY_BYTES)
            if not decompressor.eof:
                raise PeerError(
                    "the reply is truncated, or too large when decompressed"
                )
            return ConfigReply.FromString(data)
        except (ZlibError, DecodeError) as exc:
            raise PeerError(f"the reply can't be decoded: {exc}") from exc


def restore_sets(
    reply: ConfigReply, base: Mapping[str, bytes], *, encoded_at: float
) -> list[PublishedSet]:
    """Restore the sets of published values from the differences in a reply.

    Args:
        reply: The reply.
        base: The values of the version that the request named in ``have_version``.
        encoded_at: Monotonic time in seconds at which the reply was encoded.

    Raises:
        PeerError: An index is missing or invalid.
    """
    sets = []
    values = dict(base)
    for difference in reply.snapshots:
        values.update(difference.values)
        try:
            indexed_keys = parse_index(values.get(INDEX_KEY, b"")).values
        except ConfigError as exc:
            raise PeerError(
                f"version {difference.version} has an invalid index: {exc}"
            ) from exc
        values = {
            k: v for k, v in values.items() if k == INDEX_KEY or k in indexed_keys
        }
        sets.append(PublishedSet(dict(values), encoded_at - difference.age_ms / 1000))
    return sets
