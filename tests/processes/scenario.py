"""Runs a site of processes under a workload and checks its merged history."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from anyio import fail_after, run, sleep

from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.group import Member, MemberState
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.lab.child_processes import ChildProcess
from magnoliaslip.lab.deployment import DEPLOYMENTS
from magnoliaslip.lab.model_loop import open_recorder
from magnoliaslip.lab.report import SiteReport, collect_report
from magnoliaslip.lab.site import Site, SiteOptions, open_site
from magnoliaslip.lab.workload import WorkloadConfig
from magnoliaslip.placement.slices import choose_holders
from magnoliaslip.proof.checker import Checker, Verdict
from magnoliaslip.proof.history import History

TIME_LIMIT_S = 75.0  # of a whole run
WAIT_TIMEOUT_S = 20.0  # time limit of each wait for a condition
POLL_INTERVAL_S = 0.05
WORKLOAD = WorkloadConfig(sessions_per_s=6, feed_s=(4, 20), think_s=(0.1, 0.5))


@dataclass(slots=True)
class Scenario:
    """Access to the site for a test, while the workload runs."""

    site: Site
    recorder: Recorder

    def record_fault(self, fault: str, target: str, phase: str = "begin") -> None:
        """Record a fault in the history, as the checker expects it."""
        self.recorder.record("fault", fault=fault, target=target, phase=phase)

    def owner_of(self, service: str) -> str:
        """Return the owner of the first slice while all instances serve."""
        members = [
            Member(entry.id, entry.zone, MemberState.SERVING)
            for entry in sorted(self.site.tables.instances, key=lambda each: each.id)
        ]
        holders = choose_holders(service, 0, members)
        assert holders is not None
        return holders.owner

    async def counter_total(self, name: str) -> int:
        """Return the sum of a counter over all callers."""
        statuses = await self.site.caller_statuses()
        return sum(status["counters"].get(name, 0) for status in statuses)

    async def wait_served(self, more: int) -> None:
        """Wait until the callers have received this many more answers."""
        goal = await self.counter_total("answered") + more

        async def served() -> bool:
            return await self.counter_total("answered") >= goal

        await wait_until(served, f"{more} more answers")


@dataclass(slots=True, frozen=True)
class Outcome:
    """Report, verdict and history of a run whose processes have all ended."""

    report: SiteReport
    verdict: Verdict
    history: History
    children: list[ChildProcess]

    def assert_rules_hold(self) -> None:
        """Check that no rule is violated and that all processes have ended.

        Fails with the first violations of each rule.
        """
        found = [str(v) for each in self.verdict.violations.values() for v in each[:3]]
        assert self.verdict.passed, "\n".join(found)
        assert all(child.exit_code is not None for child in self.children)

    def assert_all_answered(self) -> None:
        """Check that all requests were answered in full and no flow was broken."""
        self.assert_rules_hold()
        assert self.report.is_complete, "\n".join(self.report.lines())
        assert self.report.flows_broken == self.report.refused == 0, self.report


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition holds; fails after `WAIT_TIMEOUT_S`."""
    deadline = monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        assert monotonic() < deadline, f"waited {WAIT_TIMEOUT_S} s for {what}"
        await sleep(POLL_INTERVAL_S)


def run_scenario(
    directory: Path,
    act: Callable[[Scenario], Awaitable[None]],
    *,
    deployment: str = "karaganda",
    seed_peers: bool = False,
) -> Outcome:
    """Run ``act`` under a workload and check the recorded history.

    Args:
        directory: Directory for history records and logs.
        act: Called after the start of the workload, which stops when it returns.
        deployment: Name of the deployment.
        seed_peers: Whether the settings of instances list their peers.
    """
    options = SiteOptions(
        workload=WORKLOAD,
        record_dir=directory,
        log_dir=directory,
        seed_peers=seed_peers,
    )

    async def bounded() -> tuple[SiteReport, list[ChildProcess]]:
        clock = SystemClock()
        with (
            fail_after(TIME_LIMIT_S),
            open_recorder(directory / "lab.jsonl", who="lab", clock=clock) as recorder,
        ):
            async with open_site(DEPLOYMENTS[deployment], options) as site:
                scenario = Scenario(site, recorder)
                await site.start_workload()
                await scenario.wait_served(30)
                await act(scenario)
                await site.stop_workload(timeout_s=WAIT_TIMEOUT_S)
                report = await collect_report(site, seconds=0)
                return report, site._children._children

    report, children = run(bounded)
    lines = [
        line
        for path in sorted(directory.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]
    history = History.read(lines)
    return Outcome(report, Checker().check(history), history, children)
