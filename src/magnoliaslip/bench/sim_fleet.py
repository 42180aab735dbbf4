"""A fleet of real instances in virtual time, without backend servers.

Only the network, the platform and the clock are simulated. CPU seconds measured with
such a fleet include those of the simulated network.
"""

from asyncio import get_running_loop
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from anyio import create_task_group, run, sleep
from anyio.abc import TaskGroup

from magnoliaslip.bench.tables import PublishedTables
from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry, MemberState
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.proof.network import CALLERS, PLATFORM, Network
from magnoliaslip.proof.sim_hosts import SimInstance
from magnoliaslip.proof.sim_links import Receivers
from magnoliaslip.proof.sim_platform import SimPlatform
from magnoliaslip.proof.virtual_loop import VirtualEventLoop

EGRESS = Address("192.0.2.1", 6080)
PLATFORM_ADDRESS = Address("192.0.2.2", 8500)
ZONE_DELAY_S = 0.005
CALLER_DELAY_S = 0.001
SEED_PEER_COUNT = 3  # peers in the settings of an instance
CONDITION_CHECK_INTERVAL_S = 0.002


class MutedRecorder(NullRecorder):
    """Discards every record; a `SimInstance` sets `muted` when it is killed."""

    __slots__ = ("muted",)

    def __init__(self) -> None:
        self.muted = True


class SimFleet:
    """Instances that share a platform and a lossy network.

    Args:
        tasks: Task group that runs the instances.
        instances: Number of instances.
        tables: Tables on the platform; they define the availability zones.
        seed: Seed of all random choices.

    Attributes:
        entries: Entry of each instance on the platform's list, by id.
        instances: The instances that were started, by id.
        control_bytes: Control bytes sent by each started instance.

    Raises:
        TypeError: The running event loop is no `VirtualEventLoop`.
    """

    def __init__(
        self, tasks: TaskGroup, *, instances: int, tables: PublishedTables, seed: int
    ) -> None:
        loop = get_running_loop()
        if not isinstance(loop, VirtualEventLoop):
            raise TypeError(
                "SimFleet requires a VirtualEventLoop. Remedy: call run_fleet()"
            )
        self.loop = loop
        self.tables = tables
        self.rng = Random(seed)
        self.network = Network(
            loop,
            Random(seed + 1),
            zone_delay_s=ZONE_DELAY_S,
            caller_delay_s=CALLER_DELAY_S,
        )
        self.network.add(CALLERS)
        self.network.add(PLATFORM)
        self.platform = SimPlatform(loop, Random(seed + 2))
        self.control_bytes: Counter[str] = Counter()
        self.receivers = Receivers(lambda _: None)
        self.instances: dict[str, SimInstance] = {}
        self.entries = {
            f"i{n}": InstanceEntry(
                f"i{n}",
                tables.zones[n % len(tables.zones)],
                Address(f"10.8.{n >> 8}.{n & 255}", 7000),
                Address(f"10.8.{n >> 8}.{n & 255}", 7100),
            )
            for n in range(instances)
        }
        self._tasks = tasks

    def publish(self, *keys: str) -> None:
        """Publish the values of the keys with increased versions, all by default."""
        self.platform.publish(self.tables.values(*keys))

    def publish_instance_list(self) -> None:
        """Publish the list of all instances."""
        self.platform.publish(self.tables.instances(list(self.entries.values())))

    def start(self, instance_ids: list[str]) -> None:
        """Start instances; each knows the first `SEED_PEER_COUNT` others as peers."""
        for instance_id in instance_ids:
            entry = self.entries[instance_id]
            others = [e for e in self.entries.values() if e.id != instance_id]
            instance = SimInstance(
                InstanceSettings(
                    id=instance_id,
                    zone=entry.zone,
                    data=entry.data,
                    control=entry.control,
                    egress=EGRESS,
                    platform=(PLATFORM_ADDRESS,),
                    peers=tuple(others[:SEED_PEER_COUNT]),
                ),
                incarnation=int(self.loop.time() * 1000) + 1,
                network=self.network,
                receivers=self.receivers,
                platform=self.platform,
                recorder=MutedRecorder(),
                seed=self.rng.getrandbits(32),
                policy="exceptions",
                control_bytes=self.control_bytes,
            )
            self.instances[instance_id] = instance
            instance.start(self._tasks, lambda _: None)

    def kill_all(self) -> None:
        """Kill all instances."""
        for instance in self.instances.values():
            instance.kill()

    def all_serving(self, instance_ids: list[str]) -> bool:
        """Check whether all given instances are serving."""
        return all(
            self.instances[n].node.membership.state is MemberState.SERVING
            for n in instance_ids
        )

    def has_newest_version(self, instance_ids: list[str]) -> bool:
        """Check whether all given instances have the newest version in force."""
        newest = self.tables.version
        return all(self.instances[n].node.store.version == newest for n in instance_ids)

    async def wait_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Wait for a condition.

        Returns:
            Virtual seconds until the condition held; infinity if it did not within
            `limit_s` seconds.
        """
        started = self.loop.time()
        while not condition():
            if self.loop.time() - started >= limit_s:
                return float("inf")
            await sleep(CONDITION_CHECK_INTERVAL_S)
        return self.loop.time() - started


def run_fleet(
    scenario: Callable[[SimFleet], Awaitable[Any]],
    *,
    instances: int,
    tables: PublishedTables,
    seed: int,
) -> Any:
    """Run a scenario in virtual time, with published tables and instance list.

    Args:
        scenario: Starts instances and returns the measured values.
        instances: Number of instances.
        tables: Tables on the platform.
        seed: Seed of all random choices.

    Returns:
        The result of the scenario.
    """

    async def main() -> Any:
        async with create_task_group() as tasks:
            fleet = SimFleet(tasks, instances=instances, tables=tables, seed=seed)
            fleet.publish()
            fleet.publish_instance_list()
            result = await scenario(fleet)
            fleet.kill_all()
        return result

    return run(main, backend_options={"loop_factory": VirtualEventLoop})
