"""The demo: a rolling restart of all instances under a workload."""

from dataclasses import dataclass, field
from time import monotonic

from anyio import CapacityLimiter, create_task_group, move_on_after, sleep

from magnoliaslip.lab.deployment import Deployment
from magnoliaslip.lab.report import SiteReport, collect_report
from magnoliaslip.lab.site import Site, SiteOptions, open_site
from magnoliaslip.lab.workload import WorkloadConfig

TIME_LIMIT_S = 28.0  # the demo must end without a signal in less than 30 s
SETTLE_TIME_S = 1.0  # workload before the first and after the last restart
FINISH_RESERVE_S = 5.0  # part of the time limit for the last answers and the report
REPORT_RESERVE_S = 1.0  # part of the time limit for the report
# A restart takes 3 to 5 s, 2 s of which without traffic to the leaving instance, so
# sequential restarts would exceed the time limit.
CONCURRENT_RESTARTS = 3
SESSIONS_PER_S = 15.0  # of each caller
FEED_DURATION_S = (4.0, 20.0)


@dataclass(slots=True)
class Demo:
    """One run of the demo.

    Attributes:
        deployment: The deployment to run.
        options: Options of the site; by default with the workload of the demo.
    """

    deployment: Deployment
    options: SiteOptions = field(
        default_factory=lambda: SiteOptions(workload=demo_workload())
    )

    async def run(self) -> SiteReport | None:
        """Run the demo and return its report; None when it exceeds the time limit.

        Raises:
            ChildError: A process did not start or stop in time.
            PlatformError: A simulator did not answer, or answered with an error.
        """
        started = monotonic()
        with move_on_after(TIME_LIMIT_S):
            async with open_site(self.deployment, self.options) as site:
                _print_progress(started, f"{len(site.instances)} instances are serving")
                await site.start_workload()
                await sleep(SETTLE_TIME_S)
                with move_on_after(
                    TIME_LIMIT_S - FINISH_RESERVE_S - (monotonic() - started)
                ):
                    await restart_all(site, started=started)
                await sleep(SETTLE_TIME_S)
                _print_progress(started, "waiting for the last answers")
                remaining_s = TIME_LIMIT_S - REPORT_RESERVE_S - (monotonic() - started)
                await site.stop_workload(timeout_s=max(0.0, remaining_s))
                return await collect_report(site, seconds=monotonic() - started)
        return None

    @staticmethod
    def has_succeeded(report: SiteReport) -> bool:
        """Check whether all requests were served and all restarts were clean."""
        clean = all(codes == [0] for codes in report.exit_codes.values())
        restarted = all(count == 1 for count in report.restarts.values())
        return report.is_complete and restarted and clean


def demo_workload(sessions_per_s: float = SESSIONS_PER_S) -> WorkloadConfig:
    """Return the workload of each caller of the demo."""
    return WorkloadConfig(sessions_per_s=sessions_per_s, feed_s=FEED_DURATION_S)


async def restart_all(site: Site, *, started: float) -> None:
    """Restart all instances, up to `CONCURRENT_RESTARTS` at the same time.

    Args:
        site: The running site.
        started: Start of the run for progress messages, monotonic seconds.
    """
    limiter = CapacityLimiter(CONCURRENT_RESTARTS)

    async def restart(instance_id: str) -> None:
        async with limiter:
            await site.restart_instance(instance_id)
        _print_progress(started, f"{instance_id} restarted")

    async with create_task_group() as tasks:
        for instance_id in site.instances:
            tasks.start_soon(restart, instance_id)


def _print_progress(started: float, text: str) -> None:
    print(f"{monotonic() - started:5.1f} s  {text}", flush=True)
