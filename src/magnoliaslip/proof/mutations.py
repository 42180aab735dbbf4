"""Seeded mutations of a history that satisfies every rule, one per rule.

Each mutation violates exactly its own rule. If that rule still passes, its check
cannot fail, which is a defect of the checker.
"""

from abc import ABC, abstractmethod
from random import Random
from typing import ClassVar

from magnoliaslip.proof.change_rules import (
    IN_FORCE_DEADLINE_S,
    SERVER_LEAVING_DEADLINE_S,
    ZONE_OUT_DEADLINE_S,
)
from magnoliaslip.proof.facts import Facts
from magnoliaslip.proof.history import History, Record


class Mutation(ABC):
    """A change to a history that violates one rule.

    Attributes:
        rule: Name of the rule that must fail.
    """

    rule: ClassVar[str]

    @abstractmethod
    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Return the records of the mutated history."""

    def apply(self, history: History, seed: int) -> History:
        """Return the mutated history, leaving the given one unchanged.

        Raises:
            LookupError: The history has no record that the mutation applies to.
        """
        return History(self.mutate(Facts(history), Random(seed)))


def _copy(record: Record, t: float | None = None, **fields: object) -> Record:
    """Return a copy of a record with another time or other fields."""
    at = record.t if t is None else t
    return Record(at, record.who, record.kind, {**record.fields, **fields})


def _pick(rng: Random, records: list[Record]) -> Record:
    if not records:
        raise LookupError("the history has no record that this mutation applies to")
    return rng.choice(records)


def _replace(facts: Facts, old: Record, new: Record | None) -> list[Record]:
    """Replace a record by another, or remove it."""
    records = list(facts.history.records)
    index = next(n for n, record in enumerate(records) if record is old)
    records[index : index + 1] = [new] if new else []
    return records


def _non_exempt_answers(facts: Facts) -> list[Record]:
    """Return the complete answers of flows that have just one and that R1 covers."""
    zones_out = {interval.zone for interval in facts.zone_out_intervals}
    exempt_servers = {*facts.restarts_and_stops, *facts.server_faults}
    found = []
    for flow, calls in facts.calls.items():
        server, zone = facts.flow_servers.get(flow, ("", ""))
        answers = [r for r in calls if r["phase"] == "answered" and r["complete"]]
        if len(answers) == 1 and zone not in zones_out and server not in exempt_servers:
            found += answers
    return found


class BrokenFlow(Mutation):
    """A flow is reset instead of answered."""

    rule = "R1"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Turn one answer into a reset and remove the later calls of the flow."""
        answer = _pick(rng, _non_exempt_answers(facts))
        new = _copy(answer, phase="reset", complete=False, answered_by="")
        records = _replace(facts, answer, new)
        index = records.index(new)
        later = [
            record
            for record in records[index + 1 :]
            if record.kind != "call" or record["flow"] != answer["flow"]
        ]
        return records[: index + 1] + later


class ForeignPacket(Mutation):
    """A packet reaches a server of another service."""

    rule = "R2"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Copy one packet to a server of another service."""
        record = _pick(
            rng, [r for r in facts.history.of("segment") if r["flow"] in facts.calls]
        )
        foreign = _pick(
            rng,
            [
                state
                for state in facts.history.of("server_state")
                if state["service"] != record["service"]
            ],
        )
        copied = _copy(record, server=foreign["server"], service=foreign["service"])
        return [*facts.history.records, copied]


class OverloadedColdServer(Mutation):
    """A cold server runs one more request than it has slots."""

    rule = "R3"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Add parallel idempotent requests to a cold server."""
        state = _pick(
            rng,
            [r for r in facts.history.of("server_state") if r["state"] == "cold"],
        )
        slots = facts.max_slots(state["server"])
        added = []
        for number in range(slots + 1):
            fields = {
                "server": state["server"],
                "service": state["service"],
                "flow": "",
                "request": f"mutation-{number}",
                "idempotent": True,
            }
            for phase, delay in (("start", 0.01), ("end", 0.05)):
                added.append(
                    Record(
                        state.t + delay,
                        state.who,
                        "request",
                        {**fields, "phase": phase},
                    )
                )
        return facts.history.records + added


class PacketToZoneOut(Mutation):
    """A packet goes to a zone that has been out for longer than the deadline."""

    rule = "R4"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Copy one mid-flow packet to a time after the deadline of its zone."""
        intervals = {
            interval.zone: interval
            for interval in facts.zone_out_intervals
            if min(interval.end, facts.history.end) - interval.begin
            > ZONE_OUT_DEADLINE_S + 0.1
        }
        record = _pick(
            rng,
            [
                r
                for r in facts.history.of("forward")
                if r["zone"] in intervals and r["segment"] != "open"
            ],
        )
        late = intervals[record["zone"]].begin + ZONE_OUT_DEADLINE_S + 0.05
        return [*facts.history.records, _copy(record, late)]


class WrongAnswer(Mutation):
    """A caller gets an incomplete answer, or one from another server."""

    rule = "R5"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Make one answer incomplete or attribute it to another server."""
        answer = _pick(rng, _non_exempt_answers(facts))
        fields = rng.choice([{"complete": False}, {"answered_by": "another"}])
        return _replace(facts, answer, _copy(answer, **fields))


class FalseRefusal(Mutation):
    """A request is refused as not run although it ran."""

    rule = "R6"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Add a refusal to a flow whose request ran."""
        request = _pick(
            rng, [r for r in facts.history.of("request") if r["phase"] == "start"]
        )
        refusal = Record(
            request.t + 0.001,
            "i1",
            "refuse",
            {"flow": request["flow"], "service": request["service"]},
        )
        return [*facts.history.records, refusal]


class RepeatedRun(Mutation):
    """A request that is not idempotent runs twice."""

    rule = "R7"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Repeat the run of one such request after it ended."""
        runs = [
            r
            for r in facts.history.of("request")
            if not r["idempotent"]
            and r["phase"] == "start"
            and r["server"] not in facts.restarts_and_stops
        ]
        start = _pick(rng, runs)
        end = next(
            r
            for r in facts.history.of("request")
            if r["request"] == start["request"] and r["phase"] == "end"
        )
        repeated = [_copy(start, end.t + 0.001), _copy(end, end.t + 0.002)]
        return facts.history.records + repeated


class NewFlowOnLeavingServer(Mutation):
    """A new flow is placed on a leaving server after its deadline."""

    rule = "R8"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Add a SYN to the server after its deadline."""
        state = _pick(
            rng,
            [r for r in facts.history.of("server_state") if r["state"] == "draining"],
        )
        forwards = [
            r for r in facts.history.of("forward") if r["server"] == state["server"]
        ]
        late = _copy(
            _pick(rng, forwards),
            state.t + SERVER_LEAVING_DEADLINE_S + 0.05,
            segment="open",
            flow="0a0fffffc6336464ffff01bb",
        )
        return [*facts.history.records, late]


class UnannouncedStop(Mutation):
    """An instance stops without announcing it."""

    rule = "R9"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Remove one announcement of a stop."""
        record = _pick(
            rng, [r for r in facts.history.of("state") if r["state"] == "leaving"]
        )
        return _replace(facts, record, None)


class LateConfig(Mutation):
    """A configuration comes into force too late, or reverts."""

    rule = "R10"

    def mutate(self, facts: Facts, rng: Random) -> list[Record]:
        """Delay one configuration, or add the previous version after it."""
        final = facts.history.of("publish")[-1]
        configs = [
            r
            for r in facts.history.of("config")
            if r["version"] == final["version"]
            and r.t < facts.history.end - 2 * IN_FORCE_DEADLINE_S
        ]
        record = _pick(rng, configs)
        if rng.random() < 0.5:
            late = _copy(record, final.t + IN_FORCE_DEADLINE_S + 0.5)
            return _replace(facts, record, late)
        older = _copy(record, record.t + 1, version=record["version"] - 1)
        return [*facts.history.records, older]


MUTATIONS: tuple[Mutation, ...] = (
    BrokenFlow(),
    ForeignPacket(),
    OverloadedColdServer(),
    PacketToZoneOut(),
    WrongAnswer(),
    FalseRefusal(),
    RepeatedRun(),
    NewFlowOnLeavingServer(),
    UnannouncedStop(),
    LateConfig(),
)
