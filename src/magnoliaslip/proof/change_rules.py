"""Rules about changes to servers, zones, instances and tables: R3, R4, R8 to R10."""

from collections import defaultdict
from collections.abc import Iterator
from math import inf

from magnoliaslip.proof.facts import Facts, InstanceLifetime, Interval
from magnoliaslip.proof.history import Record
from magnoliaslip.proof.rule import Rule, Violation

# The deadlines are the targets of section 1.5 of ``docs/design.md``.
ZONE_OUT_DEADLINE_S = 5.0
IN_FORCE_DEADLINE_S = 7.0
# Section 1.1 of ``docs/design.md`` allows "a few seconds" for a leaving server. The
# departure is announced by a pool change, so the target of accepted configurations
# applies.
SERVER_LEAVING_DEADLINE_S = IN_FORCE_DEADLINE_S
# Deadline of a planned stop; section 3 of ``docs/design.md`` sets 30 s by default.
STOP_DEADLINE_S = 30.0
# Longest time from the fault record of an injected restart to the record of the server
# state that it causes.
FAULT_TO_STATE_MAX_S = 0.05


class SlowStart(Rule):
    """R3: a cold server gets no more load than it can handle."""

    name = "R3"
    title = "a cold server is not overloaded"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield requests above a cold server's slots, and its failures under load."""
        yield from self._above_slots(facts)
        yield from self._failed_under_load(facts)

    def _above_slots(self, facts: Facts) -> Iterator[Violation]:
        running: dict[str, set[str]] = defaultdict(set)
        events = facts.history.of("request") + facts.history.of("server_state")
        for record in sorted(events, key=lambda record: record.t):
            server = record["server"]
            if record.kind == "server_state":
                if record.t in facts.restarts_and_stops.get(server, ()):
                    running[server].clear()
            elif record["phase"] != "start":
                running[server].discard(record["request"])
            else:
                running[server].add(record["request"])
                state = facts.state_at(server, record.t)
                slots = facts.max_slots(server)
                if state and state["state"] == "cold" and len(running[server]) > slots:
                    message = (
                        f"{len(running[server])} requests on {server}, which is cold "
                        f"and has {slots} slots"
                    )
                    yield self.violation(facts, record, message)

    def _failed_under_load(self, facts: Facts) -> Iterator[Violation]:
        for server, states in facts.server_states.items():
            fault_times = facts.server_faults.get(server, [])
            restart_times = set(facts.restarts_and_stops.get(server, ()))
            previous = None
            for record in states:
                failed = record.t in restart_times and record["state"] == "cold"
                was_cold = previous is not None and previous["state"] == "cold"
                was_injected = any(
                    0 <= record.t - t <= FAULT_TO_STATE_MAX_S for t in fault_times
                )
                if failed and was_cold and not was_injected:
                    message = (
                        f"{server} failed under load while it was cold with a capacity "
                        f"of {previous['bears']} requests"
                    )
                    yield self.violation(facts, record, message)
                previous = record


class ZoneOutTraffic(Rule):
    """R4: no packets go to a zone from 5 s after it was published as out."""

    name = "R4"
    title = "no packets to a zone that is out"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each packet that was forwarded to a zone after its deadline."""
        for interval in facts.zone_out_intervals:
            deadlines: dict[str, float] = {}
            for record in facts.history.of("forward"):
                if (
                    record["zone"] != interval.zone
                    or not interval.begin <= record.t < interval.end
                ):
                    continue
                if record.who not in deadlines:
                    deadlines[record.who] = facts.update_deadline(
                        record.who,
                        interval.begin,
                        ZONE_OUT_DEADLINE_S,
                        exclude_pauses=False,
                    )
                if record.t > deadlines[record.who]:
                    message = (
                        f"{record.who} forwarded to {record['server']} in zone "
                        f"{interval.zone}, {record.t - interval.begin:.1f} s after it "
                        "was published as out"
                    )
                    yield self.violation(facts, record, message)


class LeavingServer(Rule):
    """R8: a leaving backend server gets no new flows after its deadline.

    A server is leaving once its drain or its removal from the pool is published, or
    once it reports that it is draining.
    """

    name = "R8"
    title = "a leaving server gets no new flows"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield each new flow placed on a leaving server after its deadline."""
        leaving = self._leaving_intervals(facts)
        opened: set[tuple[str, str]] = set()
        for record in facts.history.of("forward"):
            if record["segment"] != "open":
                continue
            server, flow_and_server = (
                record["server"],
                (record["flow"], record["server"]),
            )
            new = flow_and_server not in opened
            opened.add(flow_and_server)
            since = min(
                (
                    begin
                    for begin, end in leaving.get(server, ())
                    if begin <= record.t < end
                ),
                default=None,
            )
            if not new or since is None:
                continue
            deadline = facts.update_deadline(
                record.who, since, SERVER_LEAVING_DEADLINE_S, exclude_pauses=True
            )
            if record.t > deadline:
                message = (
                    f"{record.who} placed a new flow on {server}, "
                    f"{record.t - since:.1f} s after the server began to leave"
                )
                yield self.violation(facts, record, message)

    @staticmethod
    def _leaving_intervals(facts: Facts) -> dict[str, list[Interval]]:
        """Return the intervals in which a server is leaving, by server.

        It is while a publication lists it as draining or removed, and from its report
        that it is draining until it starts again.
        """
        intervals: dict[str, list[Interval]] = defaultdict(list)
        since: dict[str, float] = {}
        for record in facts.history.of("publish"):
            listed = record.get("draining")
            if listed is None:
                continue
            for server in [each for each in since if each not in listed]:
                intervals[server].append((since.pop(server), record.t))
            for server in listed:
                since.setdefault(server, record.t)
        for server, begin in since.items():
            intervals[server].append((begin, inf))
        for server, states in facts.server_states.items():
            began: float | None = None
            for record in states:
                if record["state"] == "draining" and began is None:
                    began = record.t
                elif record["state"] in ("cold", "warm") and began is not None:
                    intervals[server].append((began, record.t))
                    began = None
            if began is not None:
                intervals[server].append((began, inf))
        return intervals


class GracefulStop(Rule):
    """R9: a planned stop is announced, completes in time and aborts no request."""

    name = "R9"
    title = "planned stops are graceful"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield stops that are unannounced or late, packets sent after a stop, and
        requests that a stop aborted."""
        yield from self._check_instances(facts)
        yield from self._check_servers(facts)

    def _check_instances(self, facts: Facts) -> Iterator[Violation]:
        leaving: dict[str, float] = {}
        stopped: set[str] = set()
        kinds = ("state", "forward", "relay")
        events = [record for kind in kinds for record in facts.history.of(kind)]
        for record in sorted(events, key=lambda record: record.t):
            who = record.who
            if record.kind != "state":
                if who in stopped:
                    message = f"{who} sent a packet after it had stopped"
                    yield self.violation(facts, record, message)
            elif record["state"] == "leaving":
                leaving.setdefault(who, record.t)
            elif record["state"] == "stopped":
                stopped.add(who)
                since = leaving.pop(who, None)
                if since is None:
                    yield self.violation(
                        facts, record, f"{who} stopped without announcing it"
                    )
                elif record.t - since > STOP_DEADLINE_S:
                    message = (
                        f"{who} took {record.t - since:.1f} s to stop, longer than "
                        "the deadline"
                    )
                    yield self.violation(facts, record, message)
            else:
                stopped.discard(who)

    def _check_servers(self, facts: Facts) -> Iterator[Violation]:
        stops = {
            server: record.t
            for server, states in facts.server_states.items()
            for record in states
            if record["state"] == "stopped"
        }
        for flow, (server, _) in facts.flow_servers.items():
            if server not in stops:
                continue
            pending: Record | None = None
            for record in facts.calls.get(flow, ()):
                if record["phase"] == "sent":
                    pending = record
                elif pending is not None and record["phase"] in ("reset", "timeout"):
                    if pending.t < stops[server] <= record.t:
                        message = (
                            f"{server} stopped during request {pending['request']}"
                        )
                        yield self.violation(facts, record, message)
                    pending = None
                elif record["phase"] == "answered":
                    pending = None


class ConfigInForce(Rule):
    """R10: an accepted configuration is in force everywhere within 7 s, for good."""

    name = "R10"
    title = "configuration is in force and never reverts"

    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield configurations that came into force late or were reverted."""
        configs: dict[str, list[Record]] = defaultdict(list)
        for record in facts.history.of("config"):
            configs[record.who].append(record)
        published = [r for r in facts.history.of("publish") if r.get("accepted", True)]
        for lifetime in facts.lifetimes:
            own = [
                r
                for r in configs[lifetime.instance]
                if lifetime.begin <= r.t <= lifetime.end
            ]
            yield from self._reverted(facts, own)
            for record in published:
                yield from self._late(facts, lifetime, own, record)

    def _reverted(self, facts: Facts, own: list[Record]) -> Iterator[Violation]:
        newest = 0
        for record in own:
            if record["version"] < newest:
                message = (
                    f"{record.who} reverted from version {newest} to "
                    f"{record['version']}"
                )
                yield self.violation(facts, record, message)
            newest = max(newest, record["version"])

    def _late(
        self,
        facts: Facts,
        lifetime: InstanceLifetime,
        own: list[Record],
        published: Record,
    ) -> Iterator[Violation]:
        since = max(published.t, lifetime.begin)
        deadline = facts.update_deadline(
            lifetime.instance, since, IN_FORCE_DEADLINE_S, exclude_pauses=True
        )
        if deadline > min(lifetime.end, facts.history.end):
            return
        if all(r["version"] < published["version"] or r.t > deadline for r in own):
            message = (
                f"version {published['version']}, published at {published.t:.3f}, is "
                f"not in force on {lifetime.instance} at {deadline:.3f}"
            )
            yield Violation(self.name, deadline, message)
