"""The planned changes (steps) during which the matrix injects faults."""

from abc import ABC, abstractmethod
from dataclasses import replace
from random import Random
from typing import ClassVar

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.deployment import DEPLOYMENTS
from magnoliaslip.proof.change_rules import IN_FORCE_DEADLINE_S
from magnoliaslip.proof.world import NEW_ROUTE_ADDRESS, World, WorldConfig

# A server refuses new flows once all instances must have applied its drain: after the
# target of rule 10, plus one second for the last flows that were opened.
DRAIN_TO_REFUSAL_S = 8.0
JOIN_LEAD_S = 0.3  # an instance that starts this early is joining at the step
ZONE_OUT_LEAD_S = 6.5
NEW_ROUTE_CALLER_HOST = "203.0.113.8"


class Step(ABC):
    """A planned change of the deployment.

    Args:
        world: The deployment that changes.
        rng: Random source for the choice of what changes.

    Attributes:
        name: Name of the step in matrix cells.
        lead_s: How long before the time of the step `run` is called, in seconds.
    """

    name: ClassVar[str]
    lead_s: ClassVar[float] = 0.0

    def __init__(self, world: World, rng: Random) -> None:
        self.world = world
        self.rng = rng

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Return the configuration of a world in which the step can run."""
        return cfg

    @abstractmethod
    def run(self) -> None:
        """Start the step."""

    @property
    def service(self) -> str:
        """Name of the first service of the deployment."""
        return self.world.deployment.services[0].name

    def random_server(self) -> BackendServer:
        """Return a random server of the first service."""
        return self.rng.choice(self.world.tables.pools[self.service])

    def random_zone(self) -> str:
        """Return a random zone."""
        return self.rng.choice(self.world.deployment.zones)

    def update_pool_entry(self, old: BackendServer, new: BackendServer | None) -> None:
        """Replace or remove an entry of the pool, without publishing it."""
        pool = self.world.tables.pools[self.service]
        index = pool.index(old)
        pool[index : index + 1] = [new] if new else []

    def schedule_server_stop(self, server: BackendServer) -> None:
        """After the drain, let a server refuse new flows and stop when it has none."""
        host = self.world.servers[server.name]
        model: BackendServerModel = host.model
        self.world.loop.call_later(DRAIN_TO_REFUSAL_S, model.drain)

    def start_spare_server(self) -> None:
        """Start the spare server cold and add it to the pool, without publishing it."""
        service = self.world.deployment.services[0]
        pool_entry = self.world.pool_entries[service.name][self.world.cfg.spare_server]
        self.world.start_server(service, pool_entry, cold=True)
        self.world.tables.pools[service.name].append(pool_entry)


class Steady(Step):
    """No planned change."""

    name = "steady"

    def run(self) -> None:
        """Do nothing."""


class InstanceStart(Step):
    """A new instance starts."""

    name = "instance-start"

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Leave out the last instance at the start."""
        last = DEPLOYMENTS[cfg.deployment].instances()[-1][0]
        return replace(cfg, absent_instances=frozenset({last}))

    def run(self) -> None:
        """Start the instance."""
        (name,) = self.world.cfg.absent_instances
        self.world.start_instance(name)


class InstanceJoin(InstanceStart):
    """A new instance is joining."""

    name = "instance-join"
    lead_s = JOIN_LEAD_S


class InstanceStop(Step):
    """An instance stops as planned."""

    name = "instance-stop"

    def run(self) -> None:
        """Request the stop of an instance."""
        self.world.stop_instance(self.rng.choice(sorted(self.world.instances)))


class ServerStart(Step):
    """A backend server starts cold and joins its pool."""

    name = "server-start"

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Leave out one server at the start."""
        deployment = DEPLOYMENTS[cfg.deployment]
        name = deployment.servers(deployment.services[0])[-1][0]
        return replace(cfg, spare_server=name)

    def run(self) -> None:
        """Start the server and publish it."""
        self.start_spare_server()
        self.world.publish("pools/0")


class ServerDrain(Step):
    """A backend server drains, and stops when it has no more flows."""

    name = "server-drain"

    def run(self) -> None:
        """Publish the drain."""
        server = self.random_server()
        self.update_pool_entry(server, replace(server, drain=True))
        self.world.publish("pools/0")
        self.schedule_server_stop(server)


class ServerRemoval(Step):
    """A backend server is removed from its pool while it holds flows."""

    name = "server-removal"

    def run(self) -> None:
        """Publish the pool without the server."""
        server = self.random_server()
        self.update_pool_entry(server, None)
        self.world.publish("pools/0")
        self.schedule_server_stop(server)


class PoolChange(ServerStart):
    """A pool changes twice within a second."""

    name = "pool-change"

    def run(self) -> None:
        """Add a server, then drain another."""
        server = self.random_server()
        super().run()
        self.world.loop.call_later(0.5, self._publish_drain, server)

    def _publish_drain(self, server: BackendServer) -> None:
        self.update_pool_entry(server, replace(server, drain=True))
        self.world.publish("pools/0")


class RouteChange(Step):
    """A service gets a second address; a new caller uses it once it is in force."""

    name = "route-change"

    def run(self) -> None:
        """Publish the route."""
        self.world.add_route(NEW_ROUTE_ADDRESS, self.service)
        self.world.publish("routes/0")
        self.world.loop.call_later(
            IN_FORCE_DEADLINE_S,
            self.world.start_caller,
            "r",
            NEW_ROUTE_CALLER_HOST,
            {self.service: NEW_ROUTE_ADDRESS},
        )


class ZoneOut(Step):
    """A zone is taken out of service."""

    name = "zone-out"

    def run(self) -> None:
        """Publish a random zone as out of service."""
        self.publish_zone_out(self.random_zone())

    def publish_zone_out(self, zone: str) -> None:
        """Publish a zone as out of service."""
        self.world.tables.zones_out.add(zone)
        self.world.publish("zones")


class ZoneBack(ZoneOut):
    """A zone that was out of service returns."""

    name = "zone-back"
    lead_s = ZONE_OUT_LEAD_S

    def run(self) -> None:
        """Publish a zone as out of service, and as in service at the step."""
        zone = self.random_zone()
        self.publish_zone_out(zone)
        self.world.loop.call_later(ZONE_OUT_LEAD_S, self._publish_zone_return, zone)

    def _publish_zone_return(self, zone: str) -> None:
        self.world.tables.zones_out.discard(zone)
        self.world.publish("zones")


STEPS: dict[str, type[Step]] = {
    step.name: step
    for step in (
        Steady,
        InstanceStart,
        InstanceJoin,
        InstanceStop,
        ServerStart,
        ServerDrain,
        ServerRemoval,
        PoolChange,
        RouteChange,
        ZoneOut,
        ZoneBack,
    )
}
