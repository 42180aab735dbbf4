"""The faults that the matrix injects."""

from abc import ABC, abstractmethod
from random import Random
from typing import ClassVar

from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.proof.network import INTER_ZONE_QUALITY, PLATFORM, LinkQuality
from magnoliaslip.proof.sim_hosts import SimInstance
from magnoliaslip.proof.world import World

# Longer than the liveness time-out (2 s) and the lease of certificates (1.5 s), so that
# the view and the certificates of a paused instance have expired when it resumes.
PAUSE_S = 3.5
SHORT_FAULT_S = 6.0
LONG_FAULT_S = 10.0
CLOCK_STEP_S = 3600.0
# Longest delay until a reader sees a change, so that readers hold different versions.
# Stays below the 5 s of rule 4.
MAX_READER_LAG_S = 1.5
IMPAIRED_QUALITY = LinkQuality(
    jitter_s=0.03, loss=0.05, duplicate=0.02, control_fault_rate=0.02
)


class Fault(ABC):
    """A fault, which ends after `length_s` unless that is 0.

    Args:
        world: The deployment in which the fault is injected.
        rng: Random source for the choice of the target.

    Attributes:
        name: Name of the fault in matrix cells and history records.
        length_s: Duration in seconds; 0 if the fault does not end.
        target: Name of what the fault affects; chosen when it begins.
    """

    name: ClassVar[str]
    length_s: ClassVar[float] = 0.0

    def __init__(self, world: World, rng: Random) -> None:
        self.world = world
        self.rng = rng
        self.target = ""

    def begin(self) -> None:
        """Choose a target, inject and record the fault, and schedule its end."""
        self.target = self.choose_target()
        self.inject()
        self.world.record_fault(self.name, self.target, "begin")
        if self.length_s:
            self.world.loop.call_later(self.length_s, self.end)

    def end(self) -> None:
        """End the fault and record its end."""
        self.recover()
        self.world.record_fault(self.name, self.target, "end")

    @abstractmethod
    def choose_target(self) -> str:
        """Return the name of the target."""

    @abstractmethod
    def inject(self) -> None:
        """Inject the fault into the target."""

    def recover(self) -> None:  # noqa: B027
        """Undo the fault; does nothing by default."""

    def random_instance(self) -> str:
        """Return the name of a random running instance."""
        return self.rng.choice(
            sorted(n for n, i in self.world.instances.items() if not i.process.ended)
        )

    def random_pair(self) -> str:
        """Return the names of two random running instances, separated by a slash."""
        first = self.random_instance()
        while (second := self.random_instance()) == first:
            pass
        return f"{first}/{second}"

    def random_server(self) -> str:
        """Return the name of a random backend server."""
        return self.rng.choice(sorted(self.world.servers))

    @property
    def instance(self) -> SimInstance:
        """The target, if it is an instance."""
        return self.world.instances[self.target]

    @property
    def pair(self) -> list[str]:
        """The two instances, if the target is a pair."""
        return self.target.split("/")


class Kill(Fault):
    """An instance crashes; a new process replaces it."""

    name = "kill"
    length_s = SHORT_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Kill the process."""
        self.world.kill_instance(self.target)

    def recover(self) -> None:
        """Start a new process with the same identifier."""
        self.world.start_instance(self.target)


class Pause(Fault):
    """A process is paused and resumes later."""

    name = "pause"
    length_s = PAUSE_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Pause the process as SIGSTOP does."""
        self._paused_process = self.instance.process
        self._paused_process.pause()

    def recover(self) -> None:
        """Resume the process; has no effect if it was killed meanwhile."""
        self._paused_process.resume()


class PartitionPeers(Fault):
    """Two instances are partitioned from each other."""

    name = "cut-peers"
    length_s = SHORT_FAULT_S
    choose_target = Fault.random_pair

    def inject(self) -> None:
        """Partition the two instances."""
        self.world.network.partition(*self.pair)

    def recover(self) -> None:
        """Heal the partition."""
        self.world.network.heal(*self.pair)


class PartitionZone(Fault):
    """A zone is partitioned from all other zones and the platform."""

    name = "cut-zone"
    length_s = SHORT_FAULT_S

    def choose_target(self) -> str:
        """Return the name of a random zone."""
        return self.rng.choice(self.world.deployment.zones)

    def inject(self) -> None:
        """Partition the zone; the routers detect it after their delay."""
        self.world.network.partition_zone(self.target)
        self.world.fabric.schedule_refresh()

    def recover(self) -> None:
        """Heal the partition; the routers detect it after their delay."""
        self.world.network.heal_zone(self.target)
        self.world.fabric.schedule_refresh()


class PartitionPlatform(Fault):
    """An instance is partitioned from the platform."""

    name = "cut-platform"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Partition the instance from the platform."""
        self.world.network.partition(self.target, PLATFORM)

    def recover(self) -> None:
        """Heal the path to the platform."""
        self.world.network.heal(self.target, PLATFORM)


class PlatformDown(Fault):
    """The platform answers no requests."""

    name = "platform-down"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the node name of the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Stop answering requests."""
        self.world.platform.down = True

    def recover(self) -> None:
        """Answer requests again."""
        self.world.platform.down = False


class PlatformStale(Fault):
    """The platform answers with outdated values."""

    name = "platform-stale"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the node name of the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Freeze the values that readers see."""
        self.world.platform.set_stale(True)

    def recover(self) -> None:
        """Show the newest values to all readers."""
        self.world.platform.set_stale(False)


class StalledStreams(Fault):
    """The streams between two instances stall, and watches stay unanswered.

    The fault has no end: the instances must replace the streams and watches.
    """

    name = "silent-link"
    choose_target = Fault.random_pair

    def inject(self) -> None:
        """Stall both streams and the platform watches of the first instance."""
        first, second = self.pair
        self.world.network.stall_stream(first, second)
        self.world.network.stall_stream(second, first)
        self.world.instances[first].platform_client.stall_watches()


class ColdStart(Fault):
    """A backend server restarts cold without notice and loses its flows."""

    name = "cold-start"
    choose_target = Fault.random_server

    def inject(self) -> None:
        """Restart the server cold."""
        host = self.world.servers[self.target]
        server: BackendServerModel = host.model
        server.restart(cold=True)
        host.schedule_poll()


class WrongHealthReports(Fault):
    """The health and load endpoint of a server always reports it as idle and warm."""

    name = "lying-health"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_server

    def inject(self) -> None:
        """Make the endpoint report wrong values."""
        self.world.servers[self.target].model.health.mode = HealthMode.WRONG

    def recover(self) -> None:
        """Make the endpoint report correct values again."""
        self.world.servers[self.target].model.health.mode = HealthMode.ACCURATE


class UnevenPropagation(Fault):
    """Updates reach each reader after a random lag for each reader and key."""

    name = "uneven-order"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the node name of the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Give each reader and key a random lag."""
        self.world.platform.set_max_reader_lag(MAX_READER_LAG_S)

    def recover(self) -> None:
        """Show all updates immediately."""
        self.world.platform.set_max_reader_lag(0.0)


class ClockStep(Fault):
    """The wall clock of an instance jumps by one hour."""

    name = "clock-step"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Step the wall clock forwards or backwards."""
        self._clock = self.instance.clock
        self._step_s = self.rng.choice((-CLOCK_STEP_S, CLOCK_STEP_S))
        self._clock.step_wall_clock(self._step_s)

    def recover(self) -> None:
        """Undo the step."""
        self._clock.step_wall_clock(-self._step_s)


class LossDelay(Fault):
    """Paths between zones lose, delay, duplicate and reorder packets."""

    name = "loss-delay"
    length_s = SHORT_FAULT_S

    def choose_target(self) -> str:
        """Return the name that stands for all paths between zones."""
        return "zones"

    def inject(self) -> None:
        """Impair the paths between zones."""
        self.world.network.set_quality(IMPAIRED_QUALITY)

    def recover(self) -> None:
        """Restore the usual quality of the paths."""
        self.world.network.set_quality(INTER_ZONE_QUALITY)


FAULTS: dict[str, type[Fault]] = {
    fault.name: fault
    for fault in (
        Kill,
        Pause,
        PartitionPeers,
        PartitionZone,
        PartitionPlatform,
        PlatformDown,
        PlatformStale,
        StalledStreams,
        ColdStart,
        WrongHealthReports,
        UnevenPropagation,
        ClockStep,
        LossDelay,
    )
}
