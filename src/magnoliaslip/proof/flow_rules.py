"""Rules about flows and requests: R1, R2, R5, R6 and R7."""

from collections import Counter
from collections.abc import Iterator

from magnoliaslip.proof.facts import FLOW_END_PHASES, Facts
from magnoliaslip.proof.history import Record
from magnoliaslip.proof.rule import Rule, Violation


class FlowSurvival(Rule):
    """R1: no established flow breaks while its server is reachable.

    Flows are exempt if their availability zone is taken out, or if their server
    restarted, stopped or had an injected fault. So are flows on which a request
    times out after the server shed it.
    """

    name = "R1"
    title = "established flows survive"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each established flow that was reset or timed out."""
        for flow, calls in facts.calls.items():
            established = next(
                (r.t for r in calls if r["phase"] == "established"), None
            )
            if established is None:
                continue
            for record in calls:
                if record.t >= established and record["phase"] in ("reset", "timeout"):
                    if not self._is_exempt(facts, flow, established, record):
                        server, _ = facts.flow_servers.get(flow, ("no server", ""))
                        message = (
                            f"established flow to {server} ended by {record['phase']}"
                        )
                        yield self.violation(facts, record, message)
                    break

    @staticmethod
    def _is_exempt(facts: Facts, flow: str, established: float, end: Record) -> bool:
        server, zone = facts.flow_servers.get(flow, ("", ""))
        if any(
            interval.zone == zone
            and interval.begin <= end.t
            and interval.end >= established
            for interval in facts.zone_out_intervals
        ):
            return True
        server_failures = facts.restarts_and_stops.get(
            server, []
        ) + facts.server_faults.get(server, [])
        if any(established <= t <= end.t for t in server_failures):
            return True
        # If a shed request is not retried in time, the call times out although its
        # flow is intact.
        request_phases = [
            record["phase"]
            for record in facts.history.flows[flow]
            if record.kind == "request" and record["request"] == end["request"]
        ]
        return end["phase"] == "timeout" and request_phases[-1:] == ["shed"]


class ServiceIsolation(Rule):
    """R2: packets of a flow reach only servers of its own service."""

    name = "R2"
    title = "no packet reaches another service"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each packet sent to or received by a server of another service."""
        flow_services = {
            flow: calls[0]["service"] for flow, calls in facts.calls.items()
        }
        server_services = {
            record["server"]: record["service"]
            for record in facts.history.of("server_state")
        }
        for kind in ("forward", "segment"):
            for record in facts.history.of(kind):
                service = flow_services.get(record["flow"])
                reached = server_services.get(record["server"], record["service"])
                if service is not None and reached != service:
                    message = (
                        f"packet for {service} reached {record['server']} of {reached}"
                    )
                    yield self.violation(facts, record, message)


class CompleteAnswer(Rule):
    """R5: a caller gets the complete answer to its own request."""

    name = "R5"
    title = "complete answers to own requests"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield answers that are incomplete, missing or from another server."""
        ran: set[tuple[str, str, str]] = set()
        shed: set[tuple[str, str]] = set()
        for record in facts.history.of("request"):
            if record["phase"] == "shed":
                shed.add((record["flow"], record["request"]))
            else:
                ran.add((record["flow"], record["request"], record["server"]))
        for flow, calls in facts.calls.items():
            pending = ""
            for record in calls:
                phase, request = record["phase"], record["request"]
                if phase == "sent":
                    pending = request
                elif phase == "answered":
                    pending = ""
                    if not record["complete"]:
                        yield self.violation(facts, record, "incomplete answer")
                    elif (flow, request, record["answered_by"]) not in ran:
                        message = (
                            f"answer to {request} came from {record['answered_by']}, "
                            "which did not run it on this flow"
                        )
                        yield self.violation(facts, record, message)
                elif phase in FLOW_END_PHASES:
                    if phase == "closed" and pending and (flow, pending) not in shed:
                        message = f"flow closed without an answer to {pending}"
                        yield self.violation(facts, record, message)
                    pending = ""


class TruthfulRefusal(Rule):
    """R6: a request that was refused as not run did not run and never will."""

    name = "R6"
    title = "a request refused as not run did not run"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each refusal of a flow on which a request ran."""
        started: dict[str, Record] = {}
        for record in facts.history.of("request"):
            if record["phase"] == "start":
                started.setdefault(record["flow"], record)
        refusals = [r for r in facts.history.of("call") if r["phase"] == "refused"]
        for record in refusals + facts.history.of("refuse"):
            run = started.get(record["flow"])
            if run is not None:
                message = (
                    f"refused as not run, but {run['server']} ran {run['request']} "
                    f"at {run.t:.3f}"
                )
                yield self.violation(facts, record, message)


class AtMostOnce(Rule):
    """R7: a request that is not idempotent runs at most once."""

    name = "R7"
    title = "non-idempotent requests run at most once"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each repeated run of a request that is not idempotent."""
        runs: Counter[str] = Counter()
        for record in facts.history.of("request"):
            if record["phase"] == "start" and not record["idempotent"]:
                runs[record["request"]] += 1
                if runs[record["request"]] > 1:
                    message = (
                        f"{record['request']} ran {runs[record['request']]} times, "
                        f"now on {record['server']}"
                    )
                    yield self.violation(facts, record, message)
