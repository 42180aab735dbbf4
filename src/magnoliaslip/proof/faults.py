"""The faults that the matrix injects."""

from abc import ABC, abstractmethod
from random import Random
from typing import ClassVar

from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.proof.network import INTER_ZONE_QUALITY, PLATFORM, LinkQuality
from magnoliaslip.proof.sim_hosts import SimInstance
from magnoliaslip.proof.world import World

# Longer than liveness (2 s) and the lease (1.5 s), so that a paused instance wakes
# with a view and certificates that have ended.
PAUSE_S = 3.5
SHORT_FAULT_S = 6.0
LONG_FAULT_S = 10.0
CLOCK_STEP_S = 3600.0
# Several reads of one change see different versions; below the 5 s of rule 4.
MAX_READER_LAG_S = 1.5
IMPAIRED_QUALITY = LinkQuality(
    jitter_s=0.03, loss=0.05, duplicate=0.02, control_fault_rate=0.02
)


class Fault(ABC):
    """A fault that begins at a moment and ends after its length.

    Args:
        world: The deployment that it hits.
        rng: Chooses the target.

    Attributes:
        name: Name in cells and records.
        length_s: Time until it ends, in seconds; 0 when it has no end.
    """

    name: ClassVar[str]
    length_s: ClassVar[float] = 0.0

    def __init__(self, world: World, rng: Random) -> None:
        self.world = world
        self.rng = rng
        self.target = ""

    def begin(self) -> None:
        """Choose the target, begin, and schedule the end."""
        self.target = self.choose_target()
        self.inject()
        self.world.record_fault(self.name, self.target, "begin")
        if self.length_s:
            self.world.loop.call_later(self.length_s, self.end)

    def end(self) -> None:
        """End the fault."""
        self.recover()
        self.world.record_fault(self.name, self.target, "end")

    @abstractmethod
    def choose_target(self) -> str:
        """Return the target."""

    @abstractmethod
    def inject(self) -> None:
        """Let the target suffer."""

    def recover(self) -> None:  # noqa: B027
        """Let the target recover; nothing to do by default."""

    def random_instance(self) -> str:
        """Return a running instance."""
        return self.rng.choice(
            sorted(n for n, i in self.world.instances.items() if not i.process.ended)
        )

    def random_pair(self) -> str:
        """Return two running instances, separated by a slash."""
        first = self.random_instance()
        while (second := self.random_instance()) == first:
            pass
        return f"{first}/{second}"

    def random_server(self) -> str:
        """Return a backend server."""
        return self.rng.choice(sorted(self.world.servers))

    @property
    def instance(self) -> SimInstance:
        """The target, when it is an instance."""
        return self.world.instances[self.target]

    @property
    def pair(self) -> list[str]:
        """The target, when it is a pair of instances."""
        return self.target.split("/")


class Kill(Fault):
    """An instance dies; a new process replaces it."""

    name = "kill"
    length_s = SHORT_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Kill the process."""
        self.world.kill_instance(self.target)

    def recover(self) -> None:
        """Start a new process under the same identifier."""
        self.world.start_instance(self.target)


class Pause(Fault):
    """A process stands still and wakes late."""

    name = "pause"
    length_s = PAUSE_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Stop the process as SIGSTOP does."""
        self._paused_process = self.instance.process
        self._paused_process.pause()

    def recover(self) -> None:
        """Let the process go on, unless it was killed meanwhile."""
        self._paused_process.resume()


class PartitionPeers(Fault):
    """Two instances do not reach each other."""

    name = "cut-peers"
    length_s = SHORT_FAULT_S
    choose_target = Fault.random_pair

    def inject(self) -> None:
        """Cut the pair."""
        self.world.network.partition(*self.pair)

    def recover(self) -> None:
        """Heal the pair."""
        self.world.network.heal(*self.pair)


class PartitionZone(Fault):
    """A zone reaches neither other zones nor the platform."""

    name = "cut-zone"
    length_s = SHORT_FAULT_S

    def choose_target(self) -> str:
        """Return a zone."""
        return self.rng.choice(self.world.deployment.zones)

    def inject(self) -> None:
        """Cut the zone; the routers notice after their lag."""
        self.world.network.partition_zone(self.target)
        self.world.fabric.schedule_refresh()

    def recover(self) -> None:
        """Heal the zone."""
        self.world.network.heal_zone(self.target)
        self.world.fabric.schedule_refresh()


class PartitionPlatform(Fault):
    """An instance does not reach the platform."""

    name = "cut-platform"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Cut the instance off."""
        self.world.network.partition(self.target, PLATFORM)

    def recover(self) -> None:
        """Heal the way."""
        self.world.network.heal(self.target, PLATFORM)


class PlatformDown(Fault):
    """The platform answers nobody."""

    name = "platform-down"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Stop answering."""
        self.world.platform.down = True

    def recover(self) -> None:
        """Answer again."""
        self.world.platform.down = False


class PlatformStale(Fault):
    """The platform answers with values of the past."""

    name = "platform-stale"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Freeze what readers see."""
        self.world.platform.set_stale(True)

    def recover(self) -> None:
        """Show the newest values."""
        self.world.platform.set_stale(False)


class StalledStreams(Fault):
    """The streams of two instances and a watch go silent for good."""

    name = "silent-link"
    choose_target = Fault.random_pair

    def inject(self) -> None:
        """Silence both streams and the watches of the first instance."""
        first, second = self.pair
        self.world.network.stall_stream(first, second)
        self.world.network.stall_stream(second, first)
        self.world.instances[first].client.stop_answering()


class ColdStart(Fault):
    """A backend server loses its flows and starts cold, without warning."""

    name = "cold-start"
    choose_target = Fault.random_server

    def inject(self) -> None:
        """Restart the server."""
        host = self.world.servers[self.target]
        server: BackendServerModel = host.model
        server.restart(cold=True)
        host.schedule_poll()


class WrongHealthReports(Fault):
    """The health and load endpoint of a server states that it is idle and warm."""

    name = "lying-health"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_server

    def inject(self) -> None:
        """Let the endpoint lie."""
        self.world.servers[self.target].model.health.mode = HealthMode.LYING

    def recover(self) -> None:
        """Let the endpoint tell the truth."""
        self.world.servers[self.target].model.health.mode = HealthMode.HONEST


class UnevenPropagation(Fault):
    """Each reader sees the news of each key after its own lag."""

    name = "uneven-order"
    length_s = LONG_FAULT_S

    def choose_target(self) -> str:
        """Return the platform."""
        return PLATFORM

    def inject(self) -> None:
        """Spread the news."""
        self.world.platform.set_max_reader_lag(MAX_READER_LAG_S)

    def recover(self) -> None:
        """Show all news at once."""
        self.world.platform.set_max_reader_lag(0.0)


class ClockStep(Fault):
    """The wall clock of an instance steps by an hour."""

    name = "clock-step"
    length_s = LONG_FAULT_S
    choose_target = Fault.random_instance

    def inject(self) -> None:
        """Step the wall clock, forwards or back."""
        self._clock = self.instance.clock
        self._step_s = self.rng.choice((-CLOCK_STEP_S, CLOCK_STEP_S))
        self._clock.step_wall_clock(self._step_s)

    def recover(self) -> None:
        """Step it back."""
        self._clock.step_wall_clock(-self._step_s)


class LossDelay(Fault):
    """Paths between zones lose, delay, repeat and reorder."""

    name = "loss-delay"
    length_s = SHORT_FAULT_S

    def choose_target(self) -> str:
        """Return the name of all paths between zones."""
        return "zones"

    def inject(self) -> None:
        """Make the paths bad."""
        self.world.network.set_quality(IMPAIRED_QUALITY)

    def recover(self) -> None:
        """Make them as usual."""
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
