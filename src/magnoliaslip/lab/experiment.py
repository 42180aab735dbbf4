"""Runs experiments: a deployment under a workload, with timed faults from a file."""

from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from time import monotonic
from typing import Annotated, Literal

from anyio import create_task_group, sleep, sleep_until
from msgspec import Meta, Struct, structs

from magnoliaslip.config.errors import SettingsValueError
from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.config.settings import convert_settings
from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.recorder import Recorder
from magnoliaslip.lab.deployment import DEPLOYMENTS, Deployment
from magnoliaslip.lab.fabric import CALLERS
from magnoliaslip.lab.model_loop import open_recorder
from magnoliaslip.lab.protocol import RequestKind
from magnoliaslip.lab.report import SiteReport, collect_report
from magnoliaslip.lab.site import Site, SiteOptions, open_site
from magnoliaslip.lab.steps import AnyStep, ExperimentStep, InstanceStep
from magnoliaslip.lab.workload import WorkloadConfig

FINISH_TIMEOUT_S = 20.0  # for the last answers after the end of the workload
SAMPLE_INTERVAL_S = 1.0
SAMPLED_COUNTERS = (
    "calls",
    "answered",
    "failed",
    "flows_established",
    "flows_broken",
    "refused",
)

Positive = Annotated[float, Meta(gt=0, le=3600)]
Weight = Annotated[float, Meta(ge=0)]


class WorkloadSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Workload of each caller; missing keys have the defaults of `WorkloadConfig`."""

    sessions_per_s: Positive | None = None
    requests: tuple[int, int] | None = None
    think_s: tuple[float, float] | None = None
    feed_s: tuple[float, float] | None = None
    interval_ms: Annotated[int, Meta(gt=0)] | None = None
    timeout_s: Positive | None = None
    attempts: Annotated[int, Meta(ge=1, le=10)] | None = None
    retry_refused: bool | None = None
    mix: dict[RequestKind, Weight] | None = None
    weights: dict[str, Weight] | None = None

    def config(self) -> WorkloadConfig:
        """Return the workload, with the defaults for missing keys."""
        given = structs.asdict(self).items()
        return WorkloadConfig(
            **{key: value for key, value in given if value is not None}
        )


class ExperimentFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of an experiment file.

    Attributes:
        deployment: Name of the deployment.
        duration_s: Duration of the workload, in seconds.
        callers: Number of callers.
        seed: Seed of the simulators.
        load: Workload of each caller.
        steps: Timed faults and changes.
    """

    deployment: Literal["karaganda", "sicily"]
    duration_s: Positive
    callers: Annotated[int, Meta(ge=1, le=20)] = 2
    seed: int = 1
    load: WorkloadSettings = WorkloadSettings()
    steps: list[AnyStep] = []


class StepTime(Struct, frozen=True):
    """When a step began and ended, in seconds after the start of the workload.

    A step without ``until_s`` has no end.
    """

    step: AnyStep
    began_s: float
    ended_s: float | None


class ExperimentReport(Struct, frozen=True):
    """Results of an experiment.

    Attributes:
        site: Results over the whole run.
        steps: Executed steps with their times, in order of their begin.
        timeline: Counters summed over all callers, about once a second; ``t_s``
            counts from the start of the workload.
    """

    site: SiteReport
    steps: list[StepTime]
    timeline: list[dict[str, float]]


def load_experiment(path: Path) -> ExperimentFile:
    """Read and check an experiment file in JSON with comments.

    Raises:
        SettingsError: The file is unreadable or has invalid content.
    """
    document = JsoncDocument.load(path)
    content = convert_settings(document, ExperimentFile)
    deployment = DEPLOYMENTS[content.deployment]
    allowed = valid_names(deployment)
    for n, step in enumerate(content.steps):
        _check_step_times(document, f"steps[{n}]", step, content.duration_s)
        for key, kind, name in step.references():
            if name not in allowed[kind]:
                raise SettingsValueError(
                    f"deployment {deployment.name} has no {kind} {name!r}",
                    place=document.place(f"steps[{n}].{key}"),
                    remedy=f"use one of {', '.join(sorted(allowed[kind]))}",
                )
    return content


def valid_names(deployment: Deployment) -> dict[str, set[str]]:
    """Return the names to which steps may refer, by kind.

    >>> sorted(valid_names(DEPLOYMENTS["sicily"])["place"])
    ['a', 'b', 'c', 'callers']
    """
    zones = set(deployment.zones)
    return {
        "zone": zones,
        "place": zones | {CALLERS},
        "server": {
            name
            for service in deployment.services
            for name, _ in deployment.servers(service)
        },
        "instance": {name for name, _ in deployment.instances()},
    }


def _check_step_times(
    document: JsoncDocument, path: str, step: ExperimentStep, duration_s: float
) -> None:
    if step.at_s >= duration_s:
        raise SettingsValueError(
            f"the step begins at {step.at_s:g} s, after the end of the workload",
            place=document.place(f"{path}.at_s"),
            remedy=f"use a time below duration_s = {duration_s:g}",
        )
    if step.until_s is not None and not step.at_s < step.until_s <= duration_s:
        raise SettingsValueError(
            f"the step ends at {step.until_s:g} s, outside the allowed range",
            place=document.place(f"{path}.until_s"),
            remedy="use a time greater than at_s and at most duration_s",
        )


class Experiment:
    """Runs an experiment.

    Args:
        content: Content of the experiment file, already checked.
        record_dir: Directory for history records, or None.
        log_dir: Directory for the output of all processes, or None.
        options: Options of the site, instead of those derived from the other
            arguments.
    """

    def __init__(
        self,
        content: ExperimentFile,
        *,
        record_dir: Path | None = None,
        log_dir: Path | None = None,
        options: SiteOptions | None = None,
    ) -> None:
        self._content = content
        self._record_dir = record_dir
        self._options = options or SiteOptions(
            callers=content.callers,
            workload=content.load.config(),
            seed=content.seed,
            record_dir=record_dir,
            log_dir=log_dir,
        )
        self._clock: Clock = SystemClock()
        self._workload_start = 0.0
        self._step_times: list[StepTime] = []
        self._timeline: list[dict[str, float]] = []

    async def run(self) -> ExperimentReport:
        """Run the experiment and return its report.

        Raises:
            ChildError: A process did not start or stop in time.
            PlatformError: A simulator did not answer, or answered with an error.
        """
        started = monotonic()
        path = self._record_dir / "lab.jsonl" if self._record_dir else None
        deployment = DEPLOYMENTS[self._content.deployment]
        with open_recorder(path, who="lab", clock=self._clock) as recorder:
            async with open_site(deployment, self._options) as site:
                await self._run_steps(site, recorder)
                await site.stop_workload(timeout_s=FINISH_TIMEOUT_S)
                await self._sample(site)
                report = await collect_report(site, seconds=monotonic() - started)
        self._step_times.sort(key=lambda time: time.began_s)
        return ExperimentReport(report, self._step_times, self._timeline)

    async def _run_steps(self, site: Site, recorder: Recorder) -> None:
        await site.start_workload()
        workload_start = self._workload_start = self._clock.monotonic()
        async with create_task_group() as tasks:
            tasks.start_soon(self._sample_periodically, site)
            async with create_task_group() as steps:
                for step in self._content.steps:
                    steps.start_soon(
                        self._run_step, step, site, recorder, workload_start
                    )
                steps.start_soon(sleep_until, workload_start + self._content.duration_s)
            tasks.cancel_scope.cancel()

    async def _run_step(
        self, step: AnyStep, site: Site, recorder: Recorder, workload_start: float
    ) -> None:
        await sleep_until(workload_start + step.at_s)
        began_s = self._clock.monotonic() - workload_start
        _record_fault(recorder, step, "begin")
        await step.begin(site)
        ended_s = None
        if step.until_s is not None:
            await sleep_until(workload_start + step.until_s)
            await step.end(site)
            _record_fault(recorder, step, "end")
            ended_s = self._clock.monotonic() - workload_start
        self._step_times.append(StepTime(step, began_s, ended_s))

    async def _sample_periodically(self, site: Site) -> None:
        while True:
            await self._sample(site)
            await sleep(SAMPLE_INTERVAL_S)

    async def _sample(self, site: Site) -> None:
        total: Counter[str] = Counter()
        for caller in await site.caller_statuses():
            total.update(caller["counters"])
        sample: dict[str, float] = {name: total[name] for name in SAMPLED_COUNTERS}
        self._timeline.append(
            {"t_s": self._clock.monotonic() - self._workload_start} | sample
        )


def _record_fault(recorder: Recorder, step: AnyStep, phase: str) -> None:
    fields: Mapping[str, object] = structs.asdict(step)
    target = ",".join(name for _, _, name in step.references())
    kind = type(step).__struct_config__.tag
    detail = fields.get("fault") or fields.get("action") or fields.get("mode") or ""
    if isinstance(step, InstanceStep):
        name = step.action  # as the history checker expects it
    else:
        name = f"{kind}:{detail}" if detail else str(kind)
    recorder.record("fault", fault=name, target=target, phase=phase)
