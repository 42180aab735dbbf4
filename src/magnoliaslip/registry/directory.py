"""The state that all published changes lead to."""

from magnoliaslip.registry.model import RegisteredServer, RouteTable
from magnoliaslip.registry.source import (
    Change,
    Changes,
    RoutesChange,
    ServerChange,
    UnreadableEntry,
    ZoneChange,
)


class Directory:
    """Routes, registered servers and zones out of service, at one revision.

    Attributes:
        revision: The store's revision; 0 when nothing was read.
        table: The routes in force; None before the first publication was read.
        servers: Registered servers by identifier.
        zones_out: Availability zones that are out of service.
    """

    __slots__ = ("revision", "servers", "table", "zones_out")

    def __init__(self) -> None:
        self.revision = 0
        self.table: RouteTable | None = None
        self.servers: dict[str, RegisteredServer] = {}
        self.zones_out: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether routes and servers are known."""
        return self.table is not None and bool(self.servers)

    def apply(self, changes: Changes) -> bool:
        """Apply later changes; changes of an older revision are ignored.

        Returns:
            Whether the changes were applied.
        """
        if changes.revision < self.revision:
            return False
        self.revision = changes.revision
        for change in changes.changes:
            self._apply(change)
        return True

    def replace(self, changes: Changes) -> bool:
        """Replace everything but newer routes by a complete list.

        Returns:
            Whether the list was taken; one of an older revision is not.
        """
        if changes.revision < self.revision:
            return False
        self.servers.clear()
        self.zones_out.clear()
        return self.apply(changes)

    def snapshot(self) -> Changes:
        """Return everything as changes to an empty directory."""
        changes: list[Change] = []
        if self.table is not None:
            changes.append(RoutesChange(self.table))
        changes += [ZoneChange(zone, out=True) for zone in sorted(self.zones_out)]
        changes += [ServerChange(s.id, s) for s in self.servers.values()]
        return Changes(self.revision, tuple(changes))

    def _apply(self, change: Change) -> None:
        if isinstance(change, ServerChange):
            if change.server is None:
                self.servers.pop(change.id, None)
            else:
                self.servers[change.id] = change.server
        elif isinstance(change, RoutesChange):
            # Routes never go back to an older version.
            if self.table is None or change.table.version >= self.table.version:
                self.table = change.table
        elif isinstance(change, UnreadableEntry):
            if change.server_id is not None:
                self.servers.pop(change.server_id, None)
        elif change.out:
            self.zones_out.add(change.zone)
        else:
            self.zones_out.discard(change.zone)
