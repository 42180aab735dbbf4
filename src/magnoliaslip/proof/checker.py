"""The history checker, which checks a history against each of the ten rules."""

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
    """Result of checking one history.

    Attributes:
        violations: All violations by rule name, in the order of the rules; empty for a
            rule that the history satisfies.
    """

    violations: dict[str, tuple[Violation, ...]]

    @property
    def failed(self) -> tuple[str, ...]:
        """Names of the rules that the history violates."""
        return tuple(name for name, found in self.violations.items() if found)

    @property
    def passed(self) -> bool:
        """Whether the history satisfies every rule."""
        return not self.failed


class Checker:
    """Checks histories against a set of rules.

    Args:
        rules: Rules to check; all ten by default.

    >>> Checker().check(History([])).passed
    True
    """

    def __init__(self, rules: Iterable[type[Rule]] = RULES) -> None:
        self._rules = [rule() for rule in rules]

    def check(self, history: History) -> Verdict:
        """Check a history against every rule."""
        facts = Facts(history)
        return Verdict(
            {rule.name: tuple(rule.check(facts)) for rule in self._rules},
        )
