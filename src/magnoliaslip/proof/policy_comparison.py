"""Comparison of the four placement policies, side by side."""

from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

from msgspec import Struct

from magnoliaslip.placement.router import POLICIES
from magnoliaslip.proof.experiments import (
    ZONE_IN_AT_S,
    ZONE_OUT_AT_S,
    RollingMeasures,
    ZoneMeasures,
    run_rolling,
    run_zone,
)
from magnoliaslip.proof.flow_memory import bytes_per_record
from magnoliaslip.proof.matrix import DEPLOYMENT_NAMES

LABEL_WIDTH = 44
COLUMN_WIDTH = 14
# Seconds after the zone is put back that the table shows; the slow start takes 30 s.
RETURN_SHOWN_S = 35


class PolicyMeasures(Struct, frozen=True):
    """Results of one policy in one deployment.

    Attributes:
        deployment: Name of the deployment.
        policy: Placement policy.
        seed: Seed of both experiments.
        bytes_per_record: Memory that one instance keeps for one flow record, in bytes.
        rolling: Results of planned changes and one killed instance under load.
        zone: Results of taking a zone out and putting it back.
    """

    deployment: str
    policy: str
    seed: int
    bytes_per_record: float
    rolling: RollingMeasures
    zone: ZoneMeasures


def run_comparison(*, seed: int, jobs: int) -> list[PolicyMeasures]:
    """Run both experiments for every policy and deployment in worker processes."""
    results = []
    with ProcessPoolExecutor(jobs, mp_context=get_context("fork")) as pool:
        sizes = {policy: pool.submit(bytes_per_record, policy) for policy in POLICIES}
        runs: list[tuple[str, str, Future, Future]] = [
            (
                deployment,
                policy,
                pool.submit(run_rolling, deployment, policy, seed),
                pool.submit(run_zone, deployment, policy, seed),
            )
            for deployment in DEPLOYMENT_NAMES
            for policy in POLICIES
        ]
        for deployment, policy, rolling, zone in runs:
            results.append(
                PolicyMeasures(
                    deployment=deployment,
                    policy=policy,
                    seed=seed,
                    bytes_per_record=sizes[policy].result(),
                    rolling=rolling.result(),
                    zone=zone.result(),
                )
            )
    return results


def render(results: list[PolicyMeasures]) -> Iterator[str]:
    """Yield the lines of the report, one column per policy."""
    for deployment in DEPLOYMENT_NAMES:
        columns = [r for r in results if r.deployment == deployment]
        if not columns:
            continue
        yield _line(deployment, [column.policy for column in columns])
        yield from _rolling_lines(columns)
        yield from _zone_lines(columns)
        yield ""


def _rolling_lines(columns: list[PolicyMeasures]) -> Iterator[str]:
    rows = [column.rolling for column in columns]
    yield _line("established flows", [f"{r.flows}" for r in rows])
    yield _line(
        "broken flows per million", [f"{r.broken_per_million:.0f}" for r in rows]
    )
    yield _line(
        "share of packets on a second hop", _format_field(rows, "second_hop_share")
    )
    yield _line(
        "control bytes/s per instance", [f"{r.control_bytes_s:.0f}" for r in rows]
    )
    yield _line(
        "flow records in the fleet per open flow",
        _format_field(rows, "records_per_flow"),
    )
    yield _line(
        "bytes per flow record at one instance",
        [f"{column.bytes_per_record:.0f}" for column in columns],
    )
    yield _line(
        "bytes per open flow, whole fleet",
        [
            f"{column.bytes_per_record * column.rolling.records_per_flow:.0f}"
            for column in columns
        ],
    )
    yield _line("max over mean load of servers", _format_field(rows, "max_over_mean"))
    yield _line("rules that fail", [",".join(r.failed_rules) or "none" for r in rows])


def _zone_lines(columns: list[PolicyMeasures]) -> Iterator[str]:
    rows = [column.zone for column in columns]
    yield _line("zone out: last packet after, s", _format_field(rows, "last_packet_s"))
    yield _line("zone: flows broken outside it", [f"{r.broken_outside}" for r in rows])
    yield _line("zone back: overloads in slow start", [f"{r.overloads}" for r in rows])
    yield _line("zone: requests shed", [f"{r.shed}" for r in rows])
    yield _line(
        "zone: rules that fail", [",".join(r.failed_rules) or "none" for r in rows]
    )
    back = int(ZONE_IN_AT_S - ZONE_OUT_AT_S)
    yield _line("second: served/offered requests (slots)", [""] * len(rows))
    for at, seconds in enumerate(zip(*(r.seconds for r in rows), strict=True)):
        t = rows[0].seconds[at].t
        if t < back + RETURN_SHOWN_S:
            label = f"{t:4d} s" + {0: " zone out", back: " zone back"}.get(t, "")
            yield _line(label, [f"{s.served}/{s.offered} ({s.slots})" for s in seconds])


def _format_field(rows: list[Struct], name: str) -> list[str]:
    return [f"{getattr(row, name):.2f}" for row in rows]


def _line(label: str, values: list[str]) -> str:
    cells = "".join(f"{value:>{COLUMN_WIDTH}}" for value in values)
    return f"{label:<{LABEL_WIDTH}}{cells}".rstrip()
