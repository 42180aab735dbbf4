"""The timed faults and changes of an experiment."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct

from magnoliaslip.lab.fabric import PathRule
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.lab.platform_store import PlatformMode
from magnoliaslip.lab.site import Site

Seconds = Annotated[float, Meta(ge=0, le=3600)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Step(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", kw_only=True
):
    """What is done at a time of the experiment.

    Attributes:
        at_s: When it begins, in seconds after the load started.
        until_s: When it ends; steps without an end ignore it.
    """

    at_s: Seconds
    until_s: Seconds | None = None

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield from ()

    async def begin(self, site: Site) -> None:
        """Begin the fault or make the change."""

    async def end(self, site: Site) -> None:
        """End the fault."""


class PathStep(Step, frozen=True, tag="path"):
    """Disturbs both directions between two places.

    Places are availability zones and ``callers``. Loss delays control streams
    between instances, as TCP repeats what was lost.
    """

    src: str
    dst: str
    loss: Share = 0.0
    delay_s: Seconds = 0.0
    cut: bool = False

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "src", "place", self.src
        yield "dst", "place", self.dst

    async def begin(self, site: Site) -> None:
        """Begin to lose, delay or cut."""
        rule = PathRule(loss=self.loss, delay_s=self.delay_s, cut=self.cut)
        await site.set_path_rule(self.src, self.dst, rule)
        await site.set_path_rule(self.dst, self.src, rule)

    async def end(self, site: Site) -> None:
        """Restore the path."""
        await site.set_path_rule(self.src, self.dst, None)
        await site.set_path_rule(self.dst, self.src, None)


class PlatformStep(Step, frozen=True, tag="platform"):
    """Makes the platform stale, down or silent for one availability zone or all."""

    mode: PlatformMode
    zone: str = ""

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        if self.zone:
            yield "zone", "zone", self.zone

    async def begin(self, site: Site) -> None:
        """Change the mode."""
        await site.set_platform_mode(self.mode, self.zone)

    async def end(self, site: Site) -> None:
        """Let the platform answer again."""
        await site.set_platform_mode(PlatformMode.UP, self.zone)


class ServerStep(Step, frozen=True, tag="server"):
    """Lets a backend server fail.

    ``cold`` restarts it without warning, ``drain`` refuses new flows, ``silent``
    stops all its packets, ``silent_flows`` those of its present flows.
    """

    server: str
    fault: Literal["cold", "drain", "silent", "silent_flows"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Apply the fault."""
        await site.set_backend_fault(self.server, fault=self.fault)

    async def end(self, site: Site) -> None:
        """End a silence; the other faults have no end."""
        if self.fault == "silent":
            await site.set_backend_fault(self.server, fault="audible")


class HealthStep(Step, frozen=True, tag="health"):
    """Lets the health and load endpoint of a backend server lag or lie."""

    server: str
    mode: HealthMode

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Change what the endpoint states."""
        await site.set_backend_fault(self.server, fault="health", mode=self.mode)

    async def end(self, site: Site) -> None:
        """Let the endpoint state the truth."""
        honest = HealthMode.HONEST
        await site.set_backend_fault(self.server, fault="health", mode=honest)


class InstanceStep(Step, frozen=True, tag="instance"):
    """Stops, kills or pauses an instance; the end starts or continues it."""

    instance: str
    action: Literal["stop", "kill", "pause"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "instance", "instance", self.instance

    async def begin(self, site: Site) -> None:
        """Stop, kill or pause the instance."""
        if self.action == "stop":
            await site.stop_instance(self.instance)
        elif self.action == "kill":
            await site.kill_instance(self.instance)
        else:
            await site.pause_instance(self.instance)

    async def end(self, site: Site) -> None:
        """Start or continue the instance."""
        if self.action == "pause":
            await site.resume_instance(self.instance)
        else:
            await site.start_instance(self.instance)


class ZoneStep(Step, frozen=True, tag="zone_out"):
    """Takes an availability zone out; the end takes it back in."""

    zone: str

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "zone", "zone", self.zone

    async def begin(self, site: Site) -> None:
        """Publish that the availability zone is out."""
        site.tables.zones_out.add(self.zone)
        await site.publish("zones")

    async def end(self, site: Site) -> None:
        """Publish that the availability zone is in."""
        site.tables.zones_out.discard(self.zone)
        await site.publish("zones")


class PoolStep(Step, frozen=True, tag="pool"):
    """Drains or removes a line of a pool; the end restores it."""

    server: str
    change: Literal["drain", "remove"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, kind and name of everything that must exist."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Publish the pool with the change."""
        if self.change == "remove":
            site.tables.remove_server(self.server)
        else:
            site.tables.drain_server(self.server)
        await site.publish("pools/0")

    async def end(self, site: Site) -> None:
        """Publish the pool with the original line."""
        site.tables.restore_server(self.server)
        await site.publish("pools/0")


AnyStep = (
    PathStep
    | PlatformStep
    | ServerStep
    | HealthStep
    | InstanceStep
    | ZoneStep
    | PoolStep
)
