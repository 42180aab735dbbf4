"""Puts a history of snapshots in force in all services."""

from collections.abc import Sequence
from ipaddress import ip_address
from logging import getLogger

from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.core.address import Address
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.placement.base_window import BaseWindow
from magnoliaslip.placement.epochs import EpochHistory
from magnoliaslip.placement.exceptions import ExceptionKeeper
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

_logger = getLogger(__name__)


class Configuration:
    """Applies new entries of the history only, so that a change stays cheap.

    Args:
        state: State of the router.
        keeper: The exceptions held here.
        window: The versions of the window.
    """

    __slots__ = ("_keeper", "_last", "_oldest", "_packed", "_state", "_window")

    def __init__(
        self, state: PlacementState, keeper: ExceptionKeeper, window: BaseWindow
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._window = window
        self._oldest: tuple[int, float] | None = None
        self._last = 0
        self._packed: dict[Address, bytes] = {}

    def apply(self, history: Sequence[HistoryEntry], now: float) -> bool:
        """Apply a history, oldest first.

        Returns:
            Whether anything was new.
        """
        oldest = history[0]
        if self._oldest is None or oldest.snapshot.version < self._oldest[0]:
            self._restart(oldest)
        new = [entry for entry in history if entry.snapshot.version > self._last]
        if not new:
            return False
        state = self._state
        for entry in new:
            former = state.snapshot
            self._apply_entry(entry, now)
            if former.routes != entry.snapshot.routes or not state.routes:
                self._apply_routes(entry.since)
        self._keeper.resolve(now)
        for route_key in [k for k, v in state.former_services.items() if v[1] <= now]:
            del state.former_services[route_key]
        return True

    def _restart(self, oldest: HistoryEntry) -> None:
        """Build all epochs anew, since the history begins earlier than known."""
        cfg = self._state.cfg
        for service in self._state.services:
            service.pool = None
            service.epochs = EpochHistory(
                service.servers, window=cfg.history_window, grace=cfg.direct_grace
            )
        self._window.restart()
        self._oldest = oldest.snapshot.version, oldest.since
        self._last = 0

    def _apply_entry(self, entry: HistoryEntry, now: float) -> None:
        state, snapshot = self._state, entry.snapshot
        first = self._last == 0
        zones_changed = first or snapshot.zones_out != state.snapshot.zones_out
        removed = [
            service
            for service in state.services
            if service.pool is not None and service.name not in snapshot.pools
        ]
        for service in removed:
            service.apply(snapshot.version, entry.since, None, snapshot.zones_out)
        for name, pool in snapshot.pools.items():
            service = state.service(name)
            known = service.pool
            if (
                known is not None
                and not zones_changed
                and known.servers == pool.servers
            ):
                continue
            if not service.epochs.epochs and not first and self._oldest is not None:
                service.epochs.known_from(*self._oldest)
            added = service.apply(
                snapshot.version, entry.since, pool, snapshot.zones_out
            )
            self._start_cold(service, added, entry.since, now)
        state.snapshot = snapshot
        self._window.note_version(snapshot.version, entry.since)
        self._last = snapshot.version

    def _start_cold(
        self, service: Service, numbers: list[int], since: float, now: float
    ) -> None:
        if now - since >= self._state.cfg.slow_start:
            return
        for number in numbers:
            if service.load.begin_slow_start(number, since):
                log_event(
                    _logger,
                    Event.SERVER_COLD,
                    service=service.name,
                    server=service.servers[number].name,
                )

    def _apply_routes(self, since: float) -> None:
        state = self._state
        cfg = state.cfg
        until = since + cfg.history_window + cfg.direct_grace
        routes: dict[bytes, Service] = {}
        for address, route in state.snapshot.routes.items():
            route_key = self._pack(address)
            service = state.service(route.service)
            if not service.epochs.epochs:
                continue
            known = state.routes.get(route_key)
            if known is not None and known is not service:
                state.former_services[route_key] = (known, until)
            routes[route_key] = service
        state.routes = routes
        self._packed = {
            address: packed
            for address, packed in self._packed.items()
            if address in state.snapshot.routes
        }

    def _pack(self, address: Address) -> bytes:
        packed = self._packed.get(address)
        if packed is None:
            packed = ip_address(address.host).packed + address.port.to_bytes(2, "big")
            self._packed[address] = packed
        return packed
