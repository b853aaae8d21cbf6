"""What an audit found, rule by rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_VIOLATIONS_SHOWN = 20


@dataclass(slots=True)
class RuleResult:
    """How often a rule was checked, what violated it, and the least margin by which it held.

    `min_margin` is below zero where the rule is broken; its unit is in the name.
    """

    name: str
    checked: int = 0
    violations: list[str] = field(default_factory=list)
    min_margin: float | None = None

    def record_margin(self, margin: float) -> None:
        """Take a margin by which the rule held or not."""
        self.min_margin = margin if self.min_margin is None else min(self.min_margin, margin)


@dataclass(slots=True)
class Verdict:
    """The results of all rules."""

    rules: list[RuleResult]

    @property
    def has_passed(self) -> bool:
        """Whether no rule was violated."""
        return not any(rule.violations for rule in self.rules)
