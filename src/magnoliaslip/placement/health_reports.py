"""Takes reports of health endpoints into the decisions of an owner."""

from logging import getLogger

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.placement.state import PlacementState

_logger = getLogger(__name__)


class HealthReports:
    """Tells whose health an owner needs, and takes over what they report.

    Args:
        state: State of the router.
    """

    __slots__ = ("_state",)

    def __init__(self, state: PlacementState) -> None:
        self._state = state

    def watched_servers(self) -> list[tuple[str, BackendServer]]:
        """Return services and servers with an endpoint, of slices owned here."""
        return [
            (service.name, server)
            for service in self._state.services_by_name.values()
            if service.pool is not None and service.slices.owned
            for server in service.pool.servers
            if server.health is not None
            and server.zone not in self._state.snapshot.zones_out
        ]

    def record_uptime(self, service_name: str, server_name: str, uptime: float) -> None:
        """Start a slow start when an uptime in seconds shows a recent restart."""
        service = self._state.services_by_name.get(service_name)
        number = service.servers.find(server_name) if service else None
        if service is None or number is None:
            return
        started = service.restart_detector.record_uptime(
            number, uptime=uptime, now=self._state.now()
        )
        if started is not None and service.load.begin_slow_start(number, started):
            log_event(
                _logger,
                Event.SERVER_COLD,
                service=service_name,
                server=server_name,
                uptime_s=round(uptime, 1),
            )
