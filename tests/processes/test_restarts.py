from time import monotonic

import pytest

from magnoliaslip.lab.demo import restart_all
from tests.processes.scenario import run_scenario


@pytest.mark.parametrize("deployment", ["karaganda", "sicily"])
def test_rolling_restart_breaks_no_flow(tmp_path, deployment):
    """Guards against flows or requests that break during a planned restart."""

    async def act(scenario):
        await restart_all(scenario.site, started=monotonic())

    outcome = run_scenario(tmp_path, act, deployment=deployment)
    outcome.assert_all_answered()
    assert all(count == 1 for count in outcome.report.restarts.values())
    assert all(codes == [0] for codes in outcome.report.exit_codes.values())
