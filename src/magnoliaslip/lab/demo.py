"""The demo: a rolling restart of all instances under load."""

from dataclasses import dataclass, field
from time import monotonic

from anyio import create_task_group, move_on_after, sleep

from magnoliaslip.lab.deployment import Deployment
from magnoliaslip.lab.load import LoadConfig
from magnoliaslip.lab.report import SiteReport, collect_report
from magnoliaslip.lab.site import Site, SiteOptions, open_site

LIMIT_S = 28.0  # the demo must end by itself in under 30 s
SETTLE_S = 1.5  # load before the first and after the last restart
FINISH_S = 8.0  # bound on the wait for the last answers
AT_A_TIME = 2  # instances of different zones that restart together; one would be 30 s
SESSIONS_PER_S = 15.0  # of each caller
FEED_S = (4.0, 20.0)


@dataclass(slots=True)
class Demo:
    """One run of the demo.

    Args:
        deployment: What is set up.
        options: How it is set up; its load is replaced by the demo's.
        restarts: Whether instances are restarted.
    """

    deployment: Deployment
    options: SiteOptions = field(default_factory=lambda: SiteOptions(load=demo_load()))
    restarts: bool = True

    async def run(self) -> SiteReport | None:
        """Run the demo; None when it did not end within its limit.

        Raises:
            ChildError: A process did not start or stop in time.
        """
        started = monotonic()
        with move_on_after(LIMIT_S):
            async with open_site(self.deployment, self.options) as site:
                print(f"{len(site.instances)} instances serve", flush=True)
                await site.start_load()
                await sleep(SETTLE_S)
                if self.restarts:
                    await restart_all(site)
                await sleep(SETTLE_S)
                await site.stop_load(timeout_s=FINISH_S)
                return await collect_report(site, seconds=monotonic() - started)
        return None


def demo_load(sessions_per_s: float = SESSIONS_PER_S) -> LoadConfig:
    """Return the load of each caller of the demo."""
    return LoadConfig(sessions_per_s=sessions_per_s, feed_s=FEED_S)


async def restart_all(site: Site) -> None:
    """Restart the instances in turn, a few of different zones at a time."""
    names = list(site.instances)
    for at in range(0, len(names), AT_A_TIME):
        async with create_task_group() as tasks:
            for name in names[at : at + AT_A_TIME]:
                tasks.start_soon(site.restart_instance, name)
        print(f"restarted {', '.join(names[at : at + AT_A_TIME])}", flush=True)
