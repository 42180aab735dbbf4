"""The history checker: judges the ten rules one by one."""

from collections.abc import Iterable
from dataclasses import dataclass

from magnoliaslip.proof.change_rules import (
    ConfigInForce,
    GracefulStop,
    LeavingServer,
    SlowStart,
    ZoneOutTraffic,
)
from magnoliaslip.proof.facts import Facts
from magnoliaslip.proof.flow_rules import (
    AtMostOnce,
    CompleteAnswer,
    FlowSurvival,
    ServiceIsolation,
    TruthfulRefusal,
)
from magnoliaslip.proof.history import History
from magnoliaslip.proof.rule import Rule, Violation

RULES: tuple[type[Rule], ...] = (
    FlowSurvival,
    ServiceIsolation,
    SlowStart,
    ZoneOutTraffic,
    CompleteAnswer,
    TruthfulRefusal,
    AtMostOnce,
    LeavingServer,
    GracefulStop,
    ConfigInForce,
)


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the checker found in one history.

    Attributes:
        violations: All violations by rule, in the order of the rules.
    """

    violations: dict[str, tuple[Violation, ...]]

    @property
    def failed(self) -> tuple[str, ...]:
        """Names of the rules that the history breaks."""
        return tuple(name for name, found in self.violations.items() if found)

    @property
    def passed(self) -> bool:
        """Whether the history keeps every rule."""
        return not self.failed


class Checker:
    """Judges histories.

    Args:
        rules: The rules; all ten by default.

    >>> Checker().check(History([])).passed
    True
    """

    def __init__(self, rules: Iterable[type[Rule]] = RULES) -> None:
        self._rules = [rule() for rule in rules]

    def check(self, history: History) -> Verdict:
        """Judge every rule on a history."""
        facts = Facts(history)
        return Verdict(
            {rule.name: tuple(rule.check(facts)) for rule in self._rules},
        )
