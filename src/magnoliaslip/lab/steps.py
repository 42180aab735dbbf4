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


class ExperimentStep(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", kw_only=True
):
    """A fault or change at a given time of the experiment.

    Attributes:
        at_s: Begin, in seconds after the start of the workload.
        until_s: End, in seconds after the start of the workload. A fault
            or change that can't be undone is then only recorded as ended.
    """

    at_s: Seconds
    until_s: Seconds | None = None

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield from ()

    async def begin(self, site: Site) -> None:
        """Apply the fault or change."""

    async def end(self, site: Site) -> None:
        """Undo the fault or change."""


class PathStep(ExperimentStep, frozen=True, tag="path"):
    """Impairs the paths between two places, in both directions.

    Places are availability zones and ``callers``. Loss only delays control streams
    between instances, because TCP retransmits lost segments.
    """

    src: str
    dst: str
    loss: Share = 0.0
    delay_s: Seconds = 0.0
    cut: bool = False

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield "src", "place", self.src
        yield "dst", "place", self.dst

    async def begin(self, site: Site) -> None:
        """Begin to drop or delay packets, or partition the places."""
        rule = PathRule(loss=self.loss, delay_s=self.delay_s, cut=self.cut)
        await site.set_path_rule(self.src, self.dst, rule)
        await site.set_path_rule(self.dst, self.src, rule)

    async def end(self, site: Site) -> None:
        """Restore both paths."""
        await site.set_path_rule(self.src, self.dst, None)
        await site.set_path_rule(self.dst, self.src, None)


class PlatformStep(ExperimentStep, frozen=True, tag="platform"):
    """Sets the mode of the platform, for one availability zone or all of them."""

    mode: PlatformMode
    zone: str = ""

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        if self.zone:
            yield "zone", "zone", self.zone

    async def begin(self, site: Site) -> None:
        """Set the mode of the platform."""
        await site.set_platform_mode(self.mode, self.zone)

    async def end(self, site: Site) -> None:
        """Restore normal answers of the platform."""
        await site.set_platform_mode(PlatformMode.UP, self.zone)


class ServerStep(ExperimentStep, frozen=True, tag="server"):
    """Makes a backend server fail.

    ``cold`` restarts it without a planned stop, ``drain`` makes it refuse new flows,
    ``silent`` drops all its packets, and ``silent_flows`` drops the packets of the
    flows that are open at this time.
    """

    server: str
    fault: Literal["cold", "drain", "silent", "silent_flows"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Apply the fault."""
        await site.set_backend_fault(self.server, fault=self.fault)

    async def end(self, site: Site) -> None:
        """End the fault ``silent``; the other faults can't be undone."""
        if self.fault == "silent":
            await site.set_backend_fault(self.server, fault="audible")


class HealthStep(ExperimentStep, frozen=True, tag="health"):
    """Makes the health endpoint of a backend server return stale or wrong reports."""

    server: str
    mode: HealthMode

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Set the mode of the endpoint."""
        await site.set_backend_fault(self.server, fault="health", mode=self.mode)

    async def end(self, site: Site) -> None:
        """Restore correct reports of the endpoint."""
        accurate = HealthMode.ACCURATE
        await site.set_backend_fault(self.server, fault="health", mode=accurate)


class InstanceStep(ExperimentStep, frozen=True, tag="instance"):
    """Stops, kills or pauses an instance; the end starts or resumes it."""

    instance: str
    action: Literal["stop", "kill", "pause"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
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
        """Start or resume the instance."""
        if self.action == "pause":
            await site.resume_instance(self.instance)
        else:
            await site.start_instance(self.instance)


class ZoneStep(ExperimentStep, frozen=True, tag="zone_out"):
    """Takes an availability zone out; the end puts it back in."""

    zone: str

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield "zone", "zone", self.zone

    async def begin(self, site: Site) -> None:
        """Publish that the availability zone is out."""
        site.tables.zones_out.add(self.zone)
        await site.publish("zones")

    async def end(self, site: Site) -> None:
        """Publish that the availability zone is in."""
        site.tables.zones_out.discard(self.zone)
        await site.publish("zones")


class PoolStep(ExperimentStep, frozen=True, tag="pool"):
    """Drains a backend server or removes it from its pool; the end restores it."""

    server: str
    change: Literal["drain", "remove"]

    def references(self) -> Iterator[tuple[str, str, str]]:
        """Yield step key, kind and name of each object that the step refers to."""
        yield "server", "server", self.server

    async def begin(self, site: Site) -> None:
        """Publish the pool with the change."""
        if self.change == "remove":
            site.tables.remove_server(self.server)
        else:
            site.tables.drain_server(self.server)
        await site.publish("pools/0")

    async def end(self, site: Site) -> None:
        """Publish the pool with the original entry."""
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
