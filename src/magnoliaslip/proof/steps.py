"""The planned steps at which the matrix injects faults."""

from abc import ABC, abstractmethod
from dataclasses import replace
from random import Random
from typing import ClassVar

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.deployment import DEPLOYMENTS
from magnoliaslip.proof.change_rules import IN_FORCE_DEADLINE_S
from magnoliaslip.proof.world import NEW_ROUTE, World, WorldConfig

# A server is stopped once its drain must be known everywhere: target of rule 10,
# and a second for flows that were opened last.
DRAIN_TO_STOP_S = 8.0
JOIN_LEAD_S = 0.3  # an instance that starts this much earlier is joining at the step
ZONE_OUT_LEAD_S = 6.5
NEW_ROUTE_HOST = "203.0.113.8"


class Step(ABC):
    """A planned change at one moment.

    Args:
        world: The deployment that changes.
        rng: Chooses the subject.

    Attributes:
        name: Name in cells.
        lead_s: How long before the moment of the step it is called, in seconds.
    """

    name: ClassVar[str]
    lead_s: ClassVar[float] = 0.0

    def __init__(self, world: World, rng: Random) -> None:
        self.world = world
        self.rng = rng

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Return the configuration of a world in which the step can happen."""
        return cfg

    @abstractmethod
    def run(self) -> None:
        """Begin the step."""

    @property
    def service(self) -> str:
        """The first service of the deployment."""
        return self.world.deployment.services[0].name

    def any_server(self) -> BackendServer:
        """Return a server of the first service."""
        return self.rng.choice(self.world.tables.servers[self.service])

    def any_zone(self) -> str:
        """Return a zone."""
        return self.rng.choice(self.world.deployment.zones)

    def replace_server(self, old: BackendServer, new: BackendServer | None) -> None:
        """Change or remove a line of the pool, without publication."""
        pool = self.world.tables.servers[self.service]
        at = pool.index(old)
        pool[at : at + 1] = [new] if new else []

    def stop_server_later(self, server: BackendServer) -> None:
        """Let a server refuse flows and stop once it is empty, after the drain."""
        host = self.world.servers[server.name]
        model: BackendServerModel = host.model
        self.world.loop.call_later(DRAIN_TO_STOP_S, model.drain)

    def start_spare(self) -> None:
        """Start the spare server cold and add it to the pool, without publication."""
        service = self.world.deployment.services[0]
        spec = self.world.specs[service.name][self.world.cfg.spare]
        self.world.start_server(service, spec, cold=True)
        self.world.tables.servers[service.name].append(spec)


class Steady(Step):
    """Nothing is planned."""

    name = "steady"

    def run(self) -> None:
        """Do nothing."""


class InstanceStart(Step):
    """A fresh instance starts."""

    name = "instance-start"

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Leave the last instance out at first."""
        last = DEPLOYMENTS[cfg.deployment].instances()[-1][0]
        return replace(cfg, absent=frozenset({last}))

    def run(self) -> None:
        """Start it."""
        (name,) = self.world.cfg.absent
        self.world.start_instance(name)


class InstanceJoin(InstanceStart):
    """A fresh instance is joining."""

    name = "instance-join"
    lead_s = JOIN_LEAD_S


class InstanceStop(Step):
    """An instance leaves as planned."""

    name = "instance-stop"

    def run(self) -> None:
        """Request its stop."""
        self.world.stop_instance(self.rng.choice(sorted(self.world.instances)))


class ServerStart(Step):
    """A backend server starts cold and joins its pool."""

    name = "server-start"

    @classmethod
    def prepare(cls, cfg: WorldConfig) -> WorldConfig:
        """Leave one server out at first."""
        deployment = DEPLOYMENTS[cfg.deployment]
        name = deployment.servers(deployment.services[0])[-1][0]
        return replace(cfg, spare=name)

    def run(self) -> None:
        """Start the server and publish it."""
        self.start_spare()
        self.world.publish("pools/0")


class ServerDrain(Step):
    """A backend server drains, and stops once it is empty."""

    name = "server-drain"

    def run(self) -> None:
        """Publish the drain."""
        server = self.any_server()
        self.replace_server(server, replace(server, drain=True))
        self.world.publish("pools/0")
        self.stop_server_later(server)


class ServerRemoval(Step):
    """A backend server is removed from its pool while it holds flows."""

    name = "server-removal"

    def run(self) -> None:
        """Publish the pool without it."""
        server = self.any_server()
        self.replace_server(server, None)
        self.world.publish("pools/0")
        self.stop_server_later(server)


class PoolChange(ServerStart):
    """Two changes of a pool follow each other within a second."""

    name = "pool-change"

    def run(self) -> None:
        """Add a server, then drain another."""
        server = self.any_server()
        super().run()
        self.world.loop.call_later(0.5, self._drain, server)

    def _drain(self, server: BackendServer) -> None:
        self.replace_server(server, replace(server, drain=True))
        self.world.publish("pools/0")


class RouteChange(Step):
    """A second address leads to a service; callers use it once it is in force."""

    name = "route-change"

    def run(self) -> None:
        """Publish the route."""
        self.world.add_route(NEW_ROUTE, self.service)
        self.world.publish("routes/0")
        self.world.loop.call_later(
            IN_FORCE_DEADLINE_S,
            self.world.start_caller,
            "r",
            NEW_ROUTE_HOST,
            {self.service: NEW_ROUTE},
        )


class ZoneOut(Step):
    """A zone is taken out."""

    name = "zone-out"

    def run(self) -> None:
        """Publish it as out."""
        self.take_out(self.any_zone())

    def take_out(self, zone: str) -> None:
        """Publish a zone as out."""
        self.world.tables.zones_out.add(zone)
        self.world.publish("zones")


class ZoneBack(ZoneOut):
    """A zone that was out returns."""

    name = "zone-back"
    lead_s = ZONE_OUT_LEAD_S

    def run(self) -> None:
        """Publish a zone as out, and as in at the moment of the step."""
        zone = self.any_zone()
        self.take_out(zone)
        self.world.loop.call_later(ZONE_OUT_LEAD_S, self._return, zone)

    def _return(self, zone: str) -> None:
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
