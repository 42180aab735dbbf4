from pathlib import Path

import pytest
from anyio import fail_after, run

from magnoliaslip.core.errors import SettingsError
from magnoliaslip.lab.experiment import (
    Experiment,
    ExperimentFile,
    _record_fault,
    load_experiment,
)
from magnoliaslip.lab.site import SiteOptions
from magnoliaslip.lab.steps import InstanceStep, PathStep
from magnoliaslip.lab.workload import WorkloadConfig
from magnoliaslip.proof.facts import Facts
from magnoliaslip.proof.history import History, HistoryRecorder
from tests.processes.test_site import TIME_LIMIT_S, forwarder_command

EXAMPLES = Path(__file__).parents[2] / "examples" / "experiments"


@pytest.mark.parametrize("path", sorted(EXAMPLES.iterdir()), ids=lambda path: path.name)
def test_examples_are_valid(path):
    """Guards against example files that are invalid."""
    assert load_experiment(path).steps


@pytest.mark.parametrize(
    ("step", "place"),
    [
        ('{"do": "zone_out", "zone": "d", "at_s": 1}', "steps[0].zone"),
        ('{"do": "zone_out", "zone": "a", "at_s": 9}', "steps[0].at_s"),
        ('{"do": "zone_out", "zone": "a", "at_s": 2, "until_s": 1}', "until_s"),
        ('{"do": "zone_out", "zon": "a", "at_s": 1}', "steps[0].zon"),
        ('{"do": "path", "src": "a", "dst": "b", "loss": 2, "at_s": 1}', "loss"),
    ],
)
def test_invalid_step_is_reported_with_its_place_and_remedy(tmp_path, step, place):
    """Guards against an error in the file that only shows during the experiment."""
    path = tmp_path / "experiment.jsonc"
    path.write_text(
        f'{{"deployment": "sicily", // comment\n"duration_s": 5, "steps": [{step}]}}'
    )
    with pytest.raises(SettingsError) as caught:
        load_experiment(path)
    assert place in caught.value.place
    assert caught.value.remedy


def test_steps_begin_and_end_on_time(tmp_path):
    """Guards against a fault that never begins, or continues after its end."""
    content = ExperimentFile(
        deployment="sicily",
        duration_s=2.0,
        steps=[
            PathStep(at_s=0.2, until_s=1.0, src="a", dst="b", loss=0.1),
            InstanceStep(at_s=0.5, until_s=1.5, instance="i2", action="kill"),
        ],
    )
    options = SiteOptions(
        callers=1,
        workload=WorkloadConfig(sessions_per_s=20, feed_s=(1, 2), requests=(1, 2)),
        command=forwarder_command,
        record_dir=tmp_path,
    )
    experiment = Experiment(content, options=options, record_dir=tmp_path)

    async def bounded():
        with fail_after(TIME_LIMIT_S):
            return await experiment.run()

    report = run(bounded)
    times = [(time.began_s, time.ended_s) for time in report.steps]
    for (began, ended), step in zip(times, content.steps, strict=True):
        assert 0 <= began - step.at_s < 1
        assert 0 <= ended - step.until_s < 2
    assert report.site.restarts["i2"] == 1
    assert report.timeline[-1]["answered"] == report.site.answered > 0
    # Each of the two steps adds two records, and each record contains the text twice.
    assert (tmp_path / "lab.jsonl").read_text().count('"fault"') == 4 * 2


@pytest.mark.parametrize("action", ["kill", "pause"])
def test_checker_finds_the_faults_of_instances(action):
    # Guards against a checker that holds a killed instance to bounds that only apply
    # while it runs.
    now = [1.0]
    recorder = HistoryRecorder(lambda: now[0], "lab", records := [])
    instance = HistoryRecorder(lambda: now[0], "i1", records)
    instance.record("state", state="joining")
    now[0] = 5.0
    step = InstanceStep(at_s=1.0, instance="i1", action=action)
    _record_fault(recorder, step, "begin")
    facts = Facts(History(records))
    if action == "kill":
        assert [lifetime.end for lifetime in facts.lifetimes] == [5.0]
    else:
        assert facts.pauses["i1"][0][0] == 5.0
