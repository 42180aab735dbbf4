"""Base class of the history checker's rules, and the violations they report."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

from magnoliaslip.proof.facts import Facts
from magnoliaslip.proof.history import Record


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule in a history.

    Attributes:
        rule: Name of the rule, ``R1`` to ``R10``.
        t: Time of the violation, in seconds.
        message: Description of the violation.
        flow: Flow key as hex; empty if the violation concerns no flow.
        trace: Records of the flow up to that time, as text.
    """

    rule: str
    t: float
    message: str
    flow: str = ""
    trace: tuple[str, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.rule} at {self.t:.3f}: {self.message}"]
        if self.flow:
            lines.append(f"  flow {self.flow}")
        return "\n".join(lines + [f"    {line}" for line in self.trace])


class Rule(ABC):
    """One of the ten rules of section 1.1 of ``docs/design.md``.

    Attributes:
        name: ``R1`` to ``R10``.
        title: Short description of the rule.
    """

    name: ClassVar[str]
    title: ClassVar[str]

    @abstractmethod
    def check(self, facts: Facts) -> Iterator[Violation]:
        """Yield every violation of the rule in the history."""

    def violation(self, facts: Facts, record: Record, message: str) -> Violation:
        """Build a violation at the time of a record, with the trace of its flow."""
        flow = record.get("flow", "")
        return Violation(
            rule=self.name,
            t=record.t,
            message=message,
            flow=flow,
            trace=facts.history.trace(flow, record.t) if flow else (),
        )
