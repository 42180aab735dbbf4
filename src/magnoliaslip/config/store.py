"""The configuration in force and its history.

>>> from magnoliaslip.core.clock import ManualClock
>>> store = SnapshotStore(clock=ManualClock())
>>> zones = b'{"version": 1, "zones": {"a": "out"}}'
>>> index = b'{"version": 4, "values": {"zones": 1}}'
>>> store.offer({"index": index, "zones": zones}).zones_out
frozenset({'a'})
>>> store.offer({"index": index, "zones": zones}) is None
True
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from logging import getLogger

from magnoliaslip.config.errors import ConflictingVersionError
from magnoliaslip.config.snapshot import HistoryEntry, Snapshot
from magnoliaslip.config.tables import INDEX_KEY, TableSet, parse_index
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import ConfigError, StaleConfigError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.recorder import NullRecorder, Recorder

DEFAULT_HISTORY_WINDOW_S = 3600.0

logger = getLogger(__name__)

HistoryCallback = Callable[[tuple[HistoryEntry, ...]], None]


@dataclass(slots=True, frozen=True)
class PublishedSet:
    """The values of one version as a peer holds them.

    Attributes:
        values: Published values by key, the index included.
        since: Monotonic time in seconds, on the clock of this process, at which
            the version came into force at the peer.
    """

    values: Mapping[str, bytes]
    since: float


@dataclass(slots=True)
class _Entry:
    tables: TableSet
    snapshot: Snapshot
    since: float


class SnapshotStore:
    """Holds the snapshot in force and its history; versions only increase.

    Args:
        clock: Source of time.
        history_window_s: Time in seconds for which a version is kept after it was
            replaced.
        recorder: Receives a ``config`` record for each version put in force.
    """

    __slots__ = (
        "_callbacks",
        "_clock",
        "_entries",
        "_last_rejection",
        "_recorder",
        "_window_s",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        history_window_s: float = DEFAULT_HISTORY_WINDOW_S,
        recorder: Recorder | None = None,
    ) -> None:
        self._clock = clock
        self._window_s = history_window_s
        self._recorder = recorder or NullRecorder()
        self._entries: list[_Entry] = []
        self._callbacks: list[HistoryCallback] = []
        # Text of the last logged rejection: the same invalid set is offered again
        # at every poll and by every peer, but is logged only once.
        self._last_rejection = ""

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot in force, or None before the first one."""
        return self._entries[-1].snapshot if self._entries else None

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first one."""
        return self._entries[-1].snapshot.version if self._entries else 0

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """The history, oldest first; the last entry is in force.

        The first entry is the one that was in force one window ago.
        """
        return tuple(
            HistoryEntry(entry.snapshot, entry.since)
            for entry in self._entries[self._count_expired() :]
        )

    def values_of(self, version: int) -> dict[str, bytes] | None:
        """Return the published values of a version, or None when not held."""
        for entry in self._entries:
            if entry.snapshot.version == version:
                return entry.tables.values
        return None

    def subscribe(self, callback: HistoryCallback) -> None:
        """Call ``callback`` with the history after each change.

        Args:
            callback: Receives the history, oldest first; must not raise.
        """
        self._callbacks.append(callback)

    def keys_to_read(self, index: bytes) -> tuple[str, ...]:
        """Return the keys that differ between an index and the set in force.

        `offer` reuses the others, so that a change of one shard costs one read.

        Raises:
            ConfigError: The index is invalid.
        """
        current = self.snapshot.values if self.snapshot else {}
        named = parse_index(index).values
        return tuple(key for key in named if named[key] != current.get(key))

    def offer(
        self, values: Mapping[str, bytes], *, since: float | None = None
    ) -> Snapshot | None:
        """Validate the set that ``index`` names, and put it in force if newer.

        Args:
            values: Published values by key. Those with the same version as in
                force may be omitted.
            since: Monotonic time in seconds at which the set came into force
                elsewhere; now by default.

        Returns:
            The snapshot now in force, or None when the set is not newer.

        Raises:
            ConfigError: The set is invalid; the snapshot in force stays.
        """
        entry = self._validate(values, since)
        if entry is None:
            return None
        self._activate(entry)
        self._notify()
        return entry.snapshot

    def merge_history(self, sets: Iterable[PublishedSet]) -> bool:
        """Add versions that a peer had in force.

        The newest valid set comes into force if it is newer than the one in force.
        Older sets only extend the history. Invalid sets are logged and skipped.

        Args:
            sets: Versions of a peer, in any order.

        Returns:
            Whether the history changed.
        """
        changed = False
        for entry in self._decode_sets(sets):
            if entry.snapshot.version <= self.version:
                changed |= self._insert(entry)
                continue
            try:
                newer = self._validate(entry.tables.values, entry.since)
            except ConfigError:
                continue  # already logged
            if newer is not None:
                self._activate(newer)
                changed = True
        if changed:
            self._make_times_monotonic()
            self._remove_expired()
            self._notify()
        return changed

    def expire(self) -> bool:
        """Remove versions replaced more than one window ago; call it periodically.

        Returns:
            Whether the history changed.
        """
        changed = self._remove_expired()
        if changed:
            self._notify()
        return changed

    def _decode_sets(self, sets: Iterable[PublishedSet]) -> list[_Entry]:
        """Decode the valid sets, newest first."""
        base = self._entries[-1].tables if self._entries else None
        decoded = []
        for published in sets:
            try:
                tables = TableSet.parse(published.values, base=base)
                snapshot = tables.build_snapshot()
            except ConfigError as exc:
                self._log_rejection(Event.CONFIG_REJECTED, exc)
                continue
            decoded.append(_Entry(tables, snapshot, published.since))
            base = tables
        return sorted(decoded, key=lambda entry: -entry.snapshot.version)

    def _validate(
        self, values: Mapping[str, bytes], since: float | None
    ) -> _Entry | None:
        """Call `_build_newer_entry` and log a rejection before it is raised."""
        try:
            return self._build_newer_entry(values, since)
        except StaleConfigError as exc:
            self._log_rejection(Event.CONFIG_STALE, exc)
            raise
        except ConfigError as exc:
            self._log_rejection(Event.CONFIG_REJECTED, exc)
            raise

    def _build_newer_entry(
        self, values: Mapping[str, bytes], since: float | None
    ) -> _Entry | None:
        """Return the entry of a set; None when it is not newer than the one in force.

        Raises:
            ConfigError: The set is invalid.
        """
        current = self._entries[-1] if self._entries else None
        if INDEX_KEY in values and current is not None:
            index = parse_index(values[INDEX_KEY])
            if index.version < current.snapshot.version:
                return None
            if index.version == current.snapshot.version:
                self._report_conflict(values, current)
                return None
        tables = TableSet.parse(values, base=current.tables if current else None)
        if current is not None:
            _check_table_versions(tables, current.tables)
        now = self._clock.monotonic()
        return _Entry(tables, tables.build_snapshot(), now if since is None else since)

    def _report_conflict(self, values: Mapping[str, bytes], current: _Entry) -> None:
        """Log a conflict if a set of the same version has different content."""
        if all(
            values.get(key, data) == data for key, data in current.tables.values.items()
        ):
            return
        index = parse_index(values[INDEX_KEY])
        try:
            snapshot = TableSet.parse(values, base=current.tables).build_snapshot()
        except ConfigError as exc:
            # A publication is in progress: some newer tables are readable, their index
            # is not yet.
            if (
                isinstance(exc, StaleConfigError)
                and index.values == current.snapshot.values
            ):
                return
            snapshot = None
        if snapshot != current.snapshot:
            conflict = ConflictingVersionError(
                f"version {index.version} is already held with different content",
                place=f"{INDEX_KEY}: version",
                remedy="publish the change with a higher version",
            )
            self._log_rejection(Event.CONFIG_CONFLICT, conflict)

    def _activate(self, entry: _Entry) -> None:
        self._entries.append(entry)
        self._make_times_monotonic()
        self._remove_expired()
        self._last_rejection = ""
        version = entry.snapshot.version
        zones_out = sorted(entry.snapshot.zones_out)
        log_event(
            logger,
            Event.CONFIG_IN_FORCE,
            version=version,
            zones_out=",".join(zones_out),
        )
        self._recorder.record("config", version=version, zones_out=zones_out)

    def _insert(self, entry: _Entry) -> bool:
        """Add a version to the history; return whether the history changed.

        For a version already held, the earlier time is kept: a version comes into
        force when the first instance puts it in force.
        """
        for position, existing in enumerate(self._entries):
            if existing.snapshot.version == entry.snapshot.version:
                if existing.snapshot != entry.snapshot:
                    self._report_conflict(entry.tables.values, existing)
                    return False
                if entry.since >= existing.since:
                    return False
                existing.since = entry.since
                return True
            if existing.snapshot.version > entry.snapshot.version:
                # Older than the version that was in force one window ago.
                if position == 0 and existing.since <= self._oldest_kept_time():
                    return False
                self._entries.insert(position, entry)
                return True
        return False

    def _make_times_monotonic(self) -> None:
        """Make the times increase with the versions; message delays vary."""
        latest = self._clock.monotonic()
        for entry in reversed(self._entries):
            entry.since = latest = min(entry.since, latest)

    def _oldest_kept_time(self) -> float:
        return self._clock.monotonic() - self._window_s

    def _count_expired(self) -> int:
        """Count the entries that were replaced more than one window ago."""
        oldest_kept_time = self._oldest_kept_time()
        expired = 0
        while (
            expired + 1 < len(self._entries)
            and self._entries[expired + 1].since <= oldest_kept_time
        ):
            expired += 1
        return expired

    def _remove_expired(self) -> bool:
        expired = self._count_expired()
        del self._entries[:expired]
        return expired > 0

    def _notify(self) -> None:
        history = self.history
        for callback in self._callbacks:
            callback(history)

    def _log_rejection(self, event: Event, exc: ConfigError) -> None:
        text = str(exc)
        if text != self._last_rejection:
            self._last_rejection = text
            log_event(logger, event, code=exc.code, place=repr(exc.place), error=text)


def _check_table_versions(tables: TableSet, current: TableSet) -> None:
    """Reject a set with a table that is older than, or conflicts with, one in force.

    Raises:
        StaleConfigError: The version of a table went down.
        ConflictingVersionError: A table changed but its version did not.
    """
    for key, table in tables.tables.items():
        existing = current.tables.get(key)
        if existing is None or existing is table:
            continue
        if table.version < existing.version:
            raise StaleConfigError(
                f"version {table.version} is older than {existing.version} in force",
                place=f"{key}: version",
                remedy="publish the table with a higher version",
            )
        if table.version == existing.version and not table.has_same_content(existing):
            raise ConflictingVersionError(
                f"version {table.version} is in force with different content",
                place=f"{key}: version",
                remedy="publish the change with a higher version",
            )
