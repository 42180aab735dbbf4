"""Fault matrix: runs of every fault at every step, and seeded pairs of faults."""

from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from itertools import combinations
from multiprocessing import get_context
from random import Random
from time import process_time
from traceback import format_exc

from msgspec import Struct

from magnoliaslip.placement.hashing import name_hash
from magnoliaslip.proof.checker import Checker
from magnoliaslip.proof.faults import FAULTS
from magnoliaslip.proof.history import History
from magnoliaslip.proof.steps import STEPS
from magnoliaslip.proof.world import World, WorldConfig, run_world

DEPLOYMENT_NAMES = ("karaganda", "sicily")
STEP_AT_S = 10.0  # every instance serves and feeds are open by then
MAX_FAULT_OFFSET_S = 0.4  # a fault begins at most this long before or after the step
# The longest fault begins close to the step and lasts 10 s; affected calls time out
# within 10 s.
LENGTH_S = 32.0
PAIR_COUNT = 60
ERROR_LINES = 12


@dataclass(slots=True, frozen=True)
class Cell:
    """One run of the matrix.

    Attributes:
        deployment: Name of the deployment.
        step: Name of the planned step.
        faults: Names of the faults, at most two; empty to run the step alone.
    """

    deployment: str
    step: str
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Name of the cell, used in patterns and the report.

        >>> Cell("sicily", "zone-out", ("kill", "pause")).name
        'sicily/zone-out/kill+pause'
        """
        return f"{self.deployment}/{self.step}/{'+'.join(self.faults) or 'none'}"


class Finding(Struct, frozen=True):
    """Violations of one rule in a cell.

    Attributes:
        rule: Name of the rule.
        count: Number of violations of the rule.
        text: First violation, with the trace of its flow.
    """

    rule: str
    count: int
    text: str


class CellResult(Struct, frozen=True):
    """Result of a cell.

    Attributes:
        name: Name of the cell.
        findings: One for each violated rule.
        faults: Fault records of the run, as text.
        error: Last lines of the traceback of an exception that aborted the run; empty
            without one.
        digest: SHA-256 hash of the history in hex; empty after an error.
        flows: Number of established flows.
        broken: Number of flows broken in violation of rule 1.
        records: Number of records in the history.
        cpu_s: CPU time of running and checking the cell, in seconds.
    """

    name: str
    findings: tuple[Finding, ...]
    faults: tuple[str, ...]
    error: str
    digest: str
    flows: int
    broken: int
    records: int
    cpu_s: float

    @property
    def passed(self) -> bool:
        """Whether the cell ran without an error and no rule was violated."""
        return not self.findings and not self.error


def single_cells() -> Iterator[Cell]:
    """Yield every step alone and with each fault, in both deployments."""
    for deployment in DEPLOYMENT_NAMES:
        for step in STEPS:
            yield Cell(deployment, step, ())
            for fault in FAULTS:
                yield Cell(deployment, step, (fault,))


def pair_cells(seed: int, count: int = PAIR_COUNT) -> list[Cell]:
    """Return cells with pairs of different faults, drawn with the seed."""
    choices = [
        Cell(deployment, step, pair)
        for deployment in DEPLOYMENT_NAMES
        for step in STEPS
        for pair in combinations(FAULTS, 2)
    ]
    return Random(name_hash(f"pairs/{seed}")).sample(choices, count)


def subset_cells() -> list[Cell]:
    """Return a small set of cells with each fault and each step at least once."""
    faults, steps = list(FAULTS), list(STEPS)
    return [
        Cell(
            DEPLOYMENT_NAMES[n % len(DEPLOYMENT_NAMES)],
            steps[n % len(steps)],
            (faults[n],),
        )
        for n in range(max(len(faults), len(steps)))
    ]


def cell_history(cell: Cell, seed: int) -> tuple[World, History]:
    """Run a cell without checking its history.

    Args:
        cell: The cell.
        seed: Seed of the matrix, from which each cell derives its own.

    Returns:
        World in its final state, and the history.
    """
    cell_seed = name_hash(f"{seed}/{cell.name}")
    step_type = STEPS[cell.step]
    cfg = step_type.prepare(
        WorldConfig(deployment=cell.deployment, seed=cell_seed, length_s=LENGTH_S)
    )

    def schedule(world: World) -> None:
        rng = Random(cell_seed)
        step = step_type(world, rng)
        world.loop.call_later(STEP_AT_S - step.lead_s, step.run)
        for name in cell.faults:
            fault = FAULTS[name](world, rng)
            begin = STEP_AT_S + rng.uniform(-MAX_FAULT_OFFSET_S, MAX_FAULT_OFFSET_S)
            world.loop.call_later(begin, fault.begin)

    return run_world(cfg, schedule)


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Run and check a cell; never raises, an error becomes part of the result."""
    started = process_time()
    try:
        _, history = cell_history(cell, seed)
        verdict = Checker().check(history)
    except Exception:
        lines = format_exc().strip().splitlines()
        return CellResult(
            name=cell.name,
            findings=(),
            faults=(),
            error="\n".join(lines[-ERROR_LINES:]),
            digest="",
            flows=0,
            broken=0,
            records=0,
            cpu_s=process_time() - started,
        )
    return CellResult(
        name=cell.name,
        findings=tuple(
            Finding(rule, len(found), str(found[0]))
            for rule, found in verdict.violations.items()
            if found
        ),
        faults=tuple(map(str, history.of("fault"))),
        error="",
        digest=history.digest(),
        flows=sum(r["phase"] == "established" for r in history.of("call")),
        broken=len(verdict.violations["R1"]),
        records=len(history),
        cpu_s=process_time() - started,
    )


def run_cells(cells: Sequence[Cell], *, seed: int, jobs: int) -> Iterator[CellResult]:
    """Run cells in worker processes and yield the results as they complete.

    With one job, the cells run in this process, in their order.
    """
    if jobs <= 1:
        yield from (run_cell(cell, seed) for cell in cells)
        return
    # Forking avoids importing the modules again in each worker.
    with ProcessPoolExecutor(jobs, mp_context=get_context("fork")) as pool:
        for fut in as_completed([pool.submit(run_cell, cell, seed) for cell in cells]):
            yield fut.result()


def render(results: Iterable[CellResult]) -> Iterator[str]:
    """Yield the lines of the report: tables, pairs, findings and totals."""
    by_name = {result.name: result for result in results}
    for deployment in DEPLOYMENT_NAMES:
        yield from _table_lines(deployment, by_name)
    pairs = {n: r for n, r in by_name.items() if "+" in n}
    if pairs:
        passed = sum(result.passed for result in pairs.values())
        yield f"pairs of faults: {passed} of {len(pairs)} cells keep every rule"
        yield ""
    for name, result in sorted(by_name.items()):
        if not result.passed:
            yield from _failure_lines(name, result)
    flows = sum(result.flows for result in by_name.values())
    broken = sum(result.broken for result in by_name.values())
    passed = sum(result.passed for result in by_name.values())
    yield (
        f"{passed} of {len(by_name)} cells keep every rule; "
        f"{broken} of {flows} established flows broke in violation of rule 1"
    )


def _table_lines(deployment: str, by_name: dict[str, CellResult]) -> Iterator[str]:
    columns = [s for s in STEPS if any(f"{deployment}/{s}/" in n for n in by_name)]
    if not columns:
        return
    width = max(len(step) for step in columns) + 2
    yield f"{deployment:<16}" + "".join(f"{step:<{width}}" for step in columns)
    for fault in ("none", *FAULTS):
        cells = [by_name.get(f"{deployment}/{step}/{fault}") for step in columns]
        if any(cells):
            texts = "".join(f"{_cell_text(cell):<{width}}" for cell in cells)
            yield f"{fault:<16}{texts}".rstrip()
    yield ""


def _cell_text(result: CellResult | None) -> str:
    if result is None:
        return "-"
    if result.error:
        return "ERROR"
    return ",".join(f.rule for f in result.findings) or "ok"


def _failure_lines(name: str, result: CellResult) -> Iterator[str]:
    yield f"FAILED {name}"
    for line in result.faults:
        yield f"  {line}"
    if result.error:
        yield f"  {result.error}"
    for finding in result.findings:
        text = finding.text.replace("\n", "\n  ")
        yield f"  {finding.count} x {text}"
    yield ""
