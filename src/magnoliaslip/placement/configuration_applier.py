"""Applies a history of configuration snapshots to all services."""

from collections.abc import Sequence
from ipaddress import ip_address
from logging import getLogger

from magnoliaslip.config.snapshot import HistoryEntry
from magnoliaslip.core.address import Address
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.placement.base_window import BaseWindow
from magnoliaslip.placement.epochs import EpochHistory
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState

_logger = getLogger(__name__)


class ConfigurationApplier:
    """Applies only the new entries of a history, so that a change costs little.

    Args:
        state: State of the router.
        exceptions: The exceptions on this instance.
        window: Tracks the versions in the history window and advances the bases.
    """

    __slots__ = (
        "_applied_version",
        "_exceptions",
        "_oldest_entry",
        "_packed_addresses",
        "_state",
        "_window",
    )

    def __init__(
        self, state: PlacementState, exceptions: ExceptionStore, window: BaseWindow
    ) -> None:
        self._state = state
        self._exceptions = exceptions
        self._window = window
        # Version of the oldest entry, and the time since which it has been in force.
        self._oldest_entry: tuple[int, float] | None = None
        self._applied_version = 0
        self._packed_addresses: dict[Address, bytes] = {}

    def apply(self, history: Sequence[HistoryEntry], now: float) -> bool:
        """Apply a history, oldest entry first.

        Returns:
            Whether the history had new entries.
        """
        oldest = history[0]
        if (
            self._oldest_entry is None
            or oldest.snapshot.version < self._oldest_entry[0]
        ):
            self._restart(oldest)
        new = [
            entry for entry in history if entry.snapshot.version > self._applied_version
        ]
        if not new:
            return False
        state = self._state
        for entry in new:
            former = state.snapshot
            self._apply_entry(entry, now)
            if former.routes != entry.snapshot.routes or not state.routes:
                self._apply_routes(entry.since)
        self._exceptions.resolve(now)
        for service_key in [k for k, v in state.former_services.items() if v[1] <= now]:
            del state.former_services[service_key]
        return True

    def _restart(self, oldest: HistoryEntry) -> None:
        """Discard all epochs.

        Called for the first history, and for one that starts earlier than before.
        """
        cfg = self._state.cfg
        for service in self._state.services:
            service.pool = None
            service.epochs = EpochHistory(
                service.servers,
                window_s=cfg.history_window_s,
                grace_s=cfg.direct_grace_s,
            )
        self._window.restart()
        self._oldest_entry = oldest.snapshot.version, oldest.since
        self._applied_version = 0

    def _apply_entry(self, entry: HistoryEntry, now: float) -> None:
        state, snapshot = self._state, entry.snapshot
        first = self._applied_version == 0
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
            current_pool = service.pool
            if (
                current_pool is not None
                and not zones_changed
                and current_pool.servers == pool.servers
            ):
                continue
            if (
                not service.epochs.epochs
                and not first
                and self._oldest_entry is not None
            ):
                service.epochs.append_empty_epoch(*self._oldest_entry)
            added = service.apply(
                snapshot.version, entry.since, pool, snapshot.zones_out
            )
            self._begin_slow_starts(service, added, entry.since, now)
        state.snapshot = snapshot
        self._window.record_version(snapshot.version, entry.since)
        self._applied_version = snapshot.version

    def _begin_slow_starts(
        self, service: Service, numbers: list[int], since: float, now: float
    ) -> None:
        if now - since >= self._state.cfg.slow_start_s:
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
        until = since + cfg.history_window_s + cfg.direct_grace_s
        routes: dict[bytes, Service] = {}
        for address, route in state.snapshot.routes.items():
            service_key = self._packed_address(address)
            service = state.service(route.service)
            if not service.epochs.epochs:
                continue
            former_service = state.routes.get(service_key)
            if former_service is not None and former_service is not service:
                state.former_services[service_key] = (former_service, until)
            routes[service_key] = service
        state.routes = routes
        self._packed_addresses = {
            address: packed
            for address, packed in self._packed_addresses.items()
            if address in state.snapshot.routes
        }

    def _packed_address(self, address: Address) -> bytes:
        packed = self._packed_addresses.get(address)
        if packed is None:
            packed = ip_address(address.host).packed + address.port.to_bytes(2, "big")
            self._packed_addresses[address] = packed
        return packed
