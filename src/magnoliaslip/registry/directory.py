"""State that results from all published changes."""

from collections import deque

from magnoliaslip.registry.model import RegisteredServer, RouteTable, StorePosition
from magnoliaslip.registry.store_client import (
    Change,
    ChangeBatch,
    RoutesChange,
    ServerChange,
    UnreadableEntry,
    ZoneChange,
)

# Batches of changes that are kept for instances that do not watch the store; they
# request changes within seconds.
MAX_HISTORY_ENTRIES = 256


class Directory:
    """Routes, registered servers and zones out of service, at one position.

    Attributes:
        generation: Increases with each batch of changes that is applied.
        position: The store's era and revision; both 0 before the first read.
        table: Routes in force; None before the first publication was read.
        servers: Registered servers by identifier.
        zones_out: Availability zones that are out of service.
    """

    __slots__ = (
        "_history",
        "generation",
        "position",
        "servers",
        "table",
        "zones_out",
    )

    def __init__(self) -> None:
        self.generation = 0
        self.position = StorePosition(0, 0)
        self.table: RouteTable | None = None
        self.servers: dict[str, RegisteredServer] = {}
        self.zones_out: set[str] = set()
        # Revision before, revision after and changes, oldest first.
        self._history: deque[tuple[int, int, tuple[Change, ...]]] = deque(
            maxlen=MAX_HISTORY_ENTRIES
        )

    @property
    def era(self) -> int:
        """The store's era; 0 before the first read."""
        return self.position.era

    @property
    def revision(self) -> int:
        """The store's revision within its era; 0 before the first read."""
        return self.position.revision

    @property
    def ready(self) -> bool:
        """Whether there are routes and at least one registered server."""
        return self.table is not None and bool(self.servers)

    def apply(self, batch: ChangeBatch) -> bool:
        """Apply changes of the era of the directory.

        Those of an older revision are ignored, and so are those of another era: they
        follow a state that the directory does not have.

        Returns:
            Whether the changes were applied.
        """
        if batch.era != self.era or batch.revision < self.revision:
            return False
        if batch.changes or not self._history:
            self._history.append((self.revision, batch.revision, batch.changes))
        self.position = batch.position
        self.generation += 1
        for change in batch.changes:
            self._apply_change(change)
        return True

    def replace(self, batch: ChangeBatch) -> bool:
        """Replace everything with a complete list.

        The routes are kept if the list has none, or only an older version.

        Returns:
            Whether the list was applied; one of an older position is not.
        """
        if batch.position < self.position:
            return False
        self.servers.clear()
        self.zones_out.clear()
        self._history.clear()
        self.position = batch.position
        return self.apply(batch)

    def changes_since(self, position: StorePosition) -> ChangeBatch | None:
        """Return the current state of everything that changed after a position.

        Args:
            position: Position that another instance has.

        Returns:
            The changes, or None when the history does not reach back that far; it
            never reaches back to an earlier era.
        """
        era, revision = position
        if era != self.era or not self._history or revision < self._history[0][0]:
            return None
        changes: dict[tuple[str, str], Change] = {}
        for _, revision_after, applied in self._history:
            if revision_after > revision:
                for change in applied:
                    self._add_current_state(change, changes)
        return ChangeBatch(self.revision, tuple(changes.values()), era=self.era)

    def _add_current_state(
        self, change: Change, changes: dict[tuple[str, str], Change]
    ) -> None:
        """Add the current state of the object that a change affected."""
        if isinstance(change, RoutesChange):
            if self.table is not None:
                changes["routes", ""] = RoutesChange(self.table)
        elif isinstance(change, ZoneChange):
            out = change.zone in self.zones_out
            changes["zone", change.zone] = ZoneChange(change.zone, out=out)
        else:
            identifier = (
                change.id if isinstance(change, ServerChange) else change.server_id
            )
            if identifier is not None:
                changes["server", identifier] = ServerChange(
                    identifier, self.servers.get(identifier)
                )

    def _apply_change(self, change: Change) -> None:
        if isinstance(change, ServerChange):
            if change.server is None:
                self.servers.pop(change.id, None)
            else:
                self.servers[change.id] = change.server
        elif isinstance(change, RoutesChange):
            # An older version never replaces newer routes.
            if self.table is None or change.table.version >= self.table.version:
                self.table = change.table
        elif isinstance(change, UnreadableEntry):
            if change.server_id is not None:
                self.servers.pop(change.server_id, None)
        elif change.out:
            self.zones_out.add(change.zone)
        else:
            self.zones_out.discard(change.zone)
