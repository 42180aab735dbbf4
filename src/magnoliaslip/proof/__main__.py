"""Command line of the fault matrix, policy comparison and history checker."""

from fnmatch import fnmatch
from pathlib import Path
from sys import exit as sys_exit
from time import monotonic

import click
from msgspec.json import encode

from magnoliaslip.proof.checker import Checker
from magnoliaslip.proof.history import History
from magnoliaslip.proof.matrix import (
    CellResult,
    pair_cells,
    render,
    run_cells,
    single_cells,
)
from magnoliaslip.proof.policy_comparison import render as render_compare
from magnoliaslip.proof.policy_comparison import run_comparison

DEFAULT_JOBS = 10
EXIT_VIOLATION = 1


@click.group()
def main() -> None:
    """Run the fault matrix, compare placement policies or check a history."""


@main.command()
@click.option(
    "--only",
    default="*",
    help="Run the cells whose name matches this pattern, such as '*/zone-out/*'.",
)
@click.option("--seed", default=1, help="Seed of the pairs and of every cell.")
@click.option("--jobs", default=DEFAULT_JOBS, help="Number of worker processes.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON line per cell.")
def matrix(only: str, seed: int, jobs: int, as_json: bool) -> None:
    """Run every fault at every step, and pairs of faults."""
    cells = [
        cell
        for cell in [*single_cells(), *pair_cells(seed)]
        if fnmatch(cell.name, only)
    ]
    if not cells:
        raise click.UsageError(f"no cell matches {only!r}; try '*/zone-out/*'")
    started_s = monotonic()
    results: list[CellResult] = []
    for result in run_cells(cells, seed=seed, jobs=jobs):
        results.append(result)
        if as_json:
            click.echo(encode(result))
    if not as_json:
        for line in render(results):
            click.echo(line)
        click.echo(f"seed {seed}, {monotonic() - started_s:.0f} s")
    sys_exit(0 if all(result.passed for result in results) else EXIT_VIOLATION)


@main.command()
@click.option("--seed", default=1, help="Seed of both experiments.")
@click.option("--jobs", default=DEFAULT_JOBS, help="Number of worker processes.")
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print a JSON line per deployment and policy.",
)
def compare(seed: int, jobs: int, as_json: bool) -> None:
    """Run the same experiments with each of the four placement policies."""
    results = run_comparison(seed=seed, jobs=jobs)
    lines = map(encode, results) if as_json else render_compare(results)
    for line in lines:
        click.echo(line)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
def check(files: tuple[str, ...]) -> None:
    """Check the history in FILES, which hold one JSON record per line.

    The records of all files are merged in order of time.
    """
    lines = [line for file in files for line in Path(file).read_bytes().splitlines()]
    verdict = Checker().check(History.read(lines))
    for name, found in verdict.violations.items():
        click.echo(f"{name:<4} {len(found)} violations" if found else f"{name:<4} ok")
        for violation in found[:3]:
            click.echo(str(violation))
    sys_exit(0 if verdict.passed else EXIT_VIOLATION)


if __name__ == "__main__":
    main()
