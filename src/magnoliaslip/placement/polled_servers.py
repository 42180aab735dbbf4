"""Servers whose health endpoints an owner polls, and the uptimes that they report."""

from logging import getLogger

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.placement.state import PlacementState

_logger = getLogger(__name__)


class PolledServers:
    """Lists the servers that an owner polls, and applies the uptimes that they report.

    Args:
        state: State of the router.
    """

    __slots__ = ("_state",)

    def __init__(self, state: PlacementState) -> None:
        self._state = state

    def to_poll(self) -> list[tuple[str, BackendServer]]:
        """Return the servers with a health endpoint in services with slices owned here.

        Returns:
            Pairs of the service's name and the server.
        """
        return [
            (service.name, server)
            for service in self._state.services_by_name.values()
            if service.pool is not None and service.slices.owned
            for server in service.pool.servers
            if server.health is not None
            and server.zone not in self._state.snapshot.zones_out
        ]

    def record_uptime(
        self, service_name: str, server_name: str, uptime_s: float
    ) -> None:
        """Begin a slow start if an uptime in seconds indicates a recent restart."""
        service = self._state.services_by_name.get(service_name)
        number = service.servers.find(server_name) if service else None
        if service is None or number is None:
            return
        started = service.restart_detector.record_uptime(
            number, uptime_s=uptime_s, now=self._state.now()
        )
        if started is not None and service.load.begin_slow_start(number, started):
            log_event(
                _logger,
                Event.SERVER_COLD,
                service=service_name,
                server=server_name,
                uptime_s=round(uptime_s, 1),
            )
