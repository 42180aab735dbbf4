"""Changes of the directory that are sent along with digests."""

from collections import deque

from magnoliaslip.core.errors import PeerError
from magnoliaslip.gossip.digest import Digest
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.snapshot import decode_snapshot, encode_snapshot

# Changes are sent along for this time in seconds; a digest reaches all instances of a
# zone within a few periods. Who misses them fetches a snapshot.
SENT_FOR_S = 2.0
# Larger changes, such as new routes, are fetched instead.
MAX_CHANGES_BYTES = 500


class RecentChanges:
    """The latest changes of a directory, as other instances need them.

    Args:
        directory: The directory.
    """

    __slots__ = ("_cached", "_directory", "_positions")

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        # Positions and the monotonic times in seconds at which they were first seen.
        self._positions: deque[tuple[float, StorePosition]] = deque()
        # First and last position of the changes, and the changes.
        self._cached: tuple[StorePosition, StorePosition, bytes] | None = None

    def encode(self, now: float) -> tuple[int, bytes]:
        """Return a revision of the current era and the encoded changes since then.

        Returns:
            The changes of the last `SENT_FOR_S`; 0 and nothing if there were none, or
            they are too large.
        """
        position = self._directory.position
        positions = self._positions
        if positions and positions[-1][1].era != position.era:
            positions.clear()  # changes since an earlier era are unknown
        if not positions or positions[-1][1] != position:
            positions.append((now, position))
        # The first entry is the position before the oldest change that is sent.
        while len(positions) > 1 and now - positions[1][0] >= SENT_FOR_S:
            positions.popleft()
        after = positions[0][1]
        if after.revision == 0 or after == position:
            return 0, b""
        if self._cached is None or self._cached[:2] != (after, position):
            data = b""
            if self._directory.changes_since(after) is not None:
                data = encode_snapshot(self._directory, after=after)
            self._cached = after, position, data
        data = self._cached[2]
        return (after.revision, data) if len(data) <= MAX_CHANGES_BYTES else (0, b"")

    def apply(self, digest: Digest) -> bool:
        """Apply the changes of a digest that follow the position of the directory.

        Returns:
            Whether they were applied. They are not if they are missing, begin later or
            in another era, or can't be decoded.
        """
        directory = self._directory
        if (
            not digest.changes
            or digest.era != directory.era
            or digest.changes_after > directory.revision
        ):
            return False
        try:
            snapshot = decode_snapshot(digest.changes, default_era=digest.era)
        except PeerError:
            return False  # the sender's snapshot is fetched, which logs what is wrong
        if snapshot.complete or snapshot.batch.position != digest.position:
            return False
        return directory.ready and directory.apply(snapshot.batch)
