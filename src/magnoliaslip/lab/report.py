"""Report of the results of a run of the lab."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from magnoliaslip.lab.site import Site


class SiteReport(Struct, frozen=True):
    """Results of one run.

    Attributes:
        deployment: Name of the deployment.
        seconds: Duration of the run, with the start of the processes.
        requests: Requests that callers planned, whatever the number of attempts.
        answered: Requests that their own service answered in full.
        failures: Failed requests by reason.
        wrong: Malformed messages, missing pushes and messages that belong to another
            service or request.
        retried: Further attempts of requests.
        flows: Connection attempts of callers.
        flows_established: Flows that were established.
        flows_broken: Established flows that ended by a reset, a time-out or the
            deadline of a request.
        refused: Connection attempts that were refused.
        shed: Attempts of requests that backend servers refused to run.
        overloaded: Restarts of cold backend servers by load beyond their capacity.
        sprayed: Packets that the fabric forwarded to instances.
        second_hops: Packets that an instance relayed to another one; None when no
            instance has reported its counters.
        imbalance: Answers of the busiest server divided by the mean, by service.
        latency_us: Percentiles of the time from the last attempt to the full answer,
            in microseconds and without feeds, for each caller.
        config_versions: Configuration version in force by instance.
        published: Version of the last published index.
        restarts: Number of restarts by instance.
        exit_codes: Exit codes of the graceful stops by instance.
        reads_peak_per_s: Highest number of reads of the platform in one second.
    """

    deployment: str
    seconds: float
    requests: int
    answered: int
    failures: dict[str, int]
    wrong: int
    retried: int
    flows: int
    flows_established: int
    flows_broken: int
    refused: int
    shed: int
    overloaded: int
    sprayed: int
    second_hops: int | None
    imbalance: dict[str, float]
    latency_us: list[dict[str, float]]
    config_versions: dict[str, int]
    published: int
    restarts: dict[str, int]
    exit_codes: dict[str, list[int | None]]
    reads_peak_per_s: int

    @property
    def is_complete(self) -> bool:
        """Whether all requests were answered in full by their own service."""
        return self.requests > 0 and self.answered == self.requests and not self.wrong

    def lines(self) -> list[str]:
        """Format the report as lines of text."""
        reasons = dict(self.failures)
        if waiting := self.requests - self.answered - sum(reasons.values()):
            reasons["not yet answered"] = waiting
        failed = ", ".join(f"{name} {n}" for name, n in reasons.items())
        hops_text = (
            "not reported" if self.second_hops is None else str(self.second_hops)
        )
        if self.second_hops is not None and self.sprayed:
            hops_text += f" ({self.second_hops / self.sprayed:.1%} of packets)"
        ratios = ", ".join(f"{name} {x:.2f}" for name, x in self.imbalance.items())
        versions = ", ".join(f"{i} {n}" for i, n in self.config_versions.items())
        kept = self.flows_established - self.flows_broken
        codes = Counter(code for codes in self.exit_codes.values() for code in codes)
        stops = ", ".join(f"{n} with exit code {code}" for code, n in codes.items())
        restarts = f"{sum(self.restarts.values())} instances restarted"
        return [
            f"deployment       {self.deployment}, {self.seconds:.1f} s",
            f"requests served  {self.answered} of {self.requests} in full",
            f"  not served     {failed or 'none'}; wrong answers {self.wrong}",
            f"  retried        {self.retried} (idempotent or refused requests only)",
            f"flows kept       {kept} of {self.flows_established} established",
            f"refusals         {self.refused} new flows, {self.shed} requests shed",
            f"packets          {self.sprayed} sprayed, second hops {hops_text}",
            f"imbalance        {ratios} (maximum / mean of answers per server)",
            f"configuration    version {self.published} published; {versions}",
            f"restarts         {restarts}; {stops or 'no planned stop'}",
        ]


async def collect_report(site: Site, *, seconds: float) -> SiteReport:
    """Collect the results of a site after the end of its workload.

    Call it once: each call adds the counters of the running instances again.
    """
    callers = await site.caller_statuses()
    counters: Counter[str] = Counter()
    for caller in callers:
        counters.update(caller["counters"])
    backends = await site.backend_statuses()
    fabric = await site.fabric_counters()
    reads = await site.platform_reads()
    instances = site.instances
    for instance in instances.values():
        await instance.collect_status()
    return SiteReport(
        deployment=site.deployment.name,
        seconds=seconds,
        requests=counters["calls"],
        answered=counters["answered"],
        failures={
            name.removeprefix("failed_"): count
            for name, count in sorted(counters.items())
            if name.startswith("failed_")
        },
        wrong=counters["wrong"],
        retried=counters["retried"],
        flows=counters["flows"],
        flows_established=counters["flows_established"],
        flows_broken=counters["flows_broken"],
        refused=counters["refused"],
        shed=counters["shed"],
        overloaded=sum(b["counters"].get("overloaded", 0) for b in backends),
        sprayed=fabric.get("sprayed", 0),
        second_hops=_second_hops(site),
        imbalance=_imbalance(site, callers),
        latency_us=[caller["latency"] for caller in callers],
        config_versions={
            i: instance.config_version for i, instance in instances.items()
        },
        published=site.tables.version,
        restarts={i: instance.start_count - 1 for i, instance in instances.items()},
        exit_codes={i: instance.exit_codes for i, instance in instances.items()},
        reads_peak_per_s=reads["peak_per_s"],
    )


def _second_hops(site: Site) -> int | None:
    """Return the number of relayed packets, without runs that were killed.

    None when no instance has reported a status.
    """
    instances = site.instances.values()
    if not any(instance.has_status for instance in instances):
        return None
    return sum(instance.counters["relayed"] for instance in instances)


def _imbalance(site: Site, callers: Iterable[Mapping[str, Any]]) -> dict[str, float]:
    answers: dict[str, Counter[str]] = defaultdict(Counter)
    for caller in callers:
        for line in caller["answered_by"]:
            answers[line["service"]][line["server"]] += line["answers"]
    ratios = {}
    for service, pool in site.tables.pools.items():
        total = sum(answers[service].values())
        if total:
            busiest = max(answers[service].values())
            ratios[service] = busiest * len(pool) / total
    return ratios
