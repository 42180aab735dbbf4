"""Runs the lab as processes, with a stateless forwarder instead of instances."""

import sys
from pathlib import Path

import pytest
from anyio import fail_after, run, sleep

from magnoliaslip.lab.child_processes import ChildError
from magnoliaslip.lab.deployment import DEPLOYMENTS
from magnoliaslip.lab.report import collect_report
from magnoliaslip.lab.site import SiteOptions, open_site
from magnoliaslip.lab.workload import WorkloadConfig

FORWARDER = Path(__file__).parents[1] / "lab" / "udp_forwarder.py"
TIME_LIMIT_S = 10.0
WORKLOAD = WorkloadConfig(sessions_per_s=20, feed_s=(1, 2), think_s=(0.05, 0.1))


def forwarder_command(settings):
    return [sys.executable, str(FORWARDER), str(settings)]


def test_requests_are_served_while_an_instance_restarts():
    """Guards against simulators that lose packets or outlive the site."""

    async def scenario():
        options = SiteOptions(callers=1, workload=WORKLOAD, command=forwarder_command)
        children = []
        with fail_after(TIME_LIMIT_S):
            async with open_site(DEPLOYMENTS["sicily"], options) as site:
                children = list(site._children._children)
                await site.start_workload()
                await site.restart_instance("i1")
                await site.stop_workload(timeout_s=5)
                report = await collect_report(site, seconds=1)
        return report, children

    report, children = run(scenario)
    assert report.is_complete, report
    assert report.requests > 20
    assert report.flows_broken == report.refused == 0
    assert report.restarts["i1"] == 1
    assert report.exit_codes["i1"] == [0]
    assert set(report.config_versions.values()) == {report.published} == {1}
    # Backend servers, instances, and one each of platform, fabric and caller.
    assert len(children) == 10 + 7 + 3
    assert all(child.exit_code is not None for child in children)


def test_failed_start_reports_the_output_of_the_instance():
    """Guards against a start that hangs, or hides why an instance ended."""

    async def scenario():
        options = SiteOptions(
            callers=1, command=lambda _: [sys.executable, "-c", "raise OSError('port')"]
        )
        with fail_after(TIME_LIMIT_S):
            async with open_site(DEPLOYMENTS["sicily"], options):
                await sleep(0)

    with pytest.raises(ExceptionGroup) as caught:
        run(scenario)
    error = caught.value.exceptions[0]
    assert isinstance(error, ChildError)
    assert "OSError: port" in str(error)
