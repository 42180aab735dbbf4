"""Changes of the directory that are sent along with digests."""

from collections import deque

from magnoliaslip.core.errors import PeerError
from magnoliaslip.gossip.digest import Digest
from magnoliaslip.registry.directory import Directory
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

    __slots__ = ("_cached", "_directory", "_revisions")

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        # Revisions and the monotonic times in seconds at which they were first seen.
        self._revisions: deque[tuple[float, int]] = deque()
        self._cached: tuple[int, int, bytes] = (0, 0, b"")

    def encode(self, now: float) -> tuple[int, bytes]:
        """Return a revision and the encoded changes since then.

        Returns:
            The changes of the last `SENT_FOR_S`; 0 and nothing if there were none, or
            they are too large.
        """
        revision = self._directory.revision
        revisions = self._revisions
        if not revisions or revisions[-1][1] != revision:
            revisions.append((now, revision))
        # The first entry is the revision before the oldest change that is sent.
        while len(revisions) > 1 and now - revisions[1][0] >= SENT_FOR_S:
            revisions.popleft()
        after = revisions[0][1]
        if after in (0, revision):
            return 0, b""
        if self._cached[:2] != (after, revision):
            data = b""
            if self._directory.changes_since(after) is not None:
                data = encode_snapshot(self._directory, after=after)
            self._cached = after, revision, data
        data = self._cached[2]
        return (after, data) if len(data) <= MAX_CHANGES_BYTES else (0, b"")

    def apply(self, digest: Digest) -> bool:
        """Apply the changes of a digest that follow the revision of the directory.

        Returns:
            Whether they were applied. They are not if they are missing, begin later, or
            can't be decoded.
        """
        if not digest.changes or digest.changes_after > self._directory.revision:
            return False
        try:
            snapshot = decode_snapshot(digest.changes)
        except PeerError:
            return False  # the sender's snapshot is fetched, which logs what is wrong
        if snapshot.complete or snapshot.batch.revision != digest.revision:
            return False
        return self._directory.ready and self._directory.apply(snapshot.batch)
