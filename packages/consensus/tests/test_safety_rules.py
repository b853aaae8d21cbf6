"""Each safety rule has a broken version, which a test of rules must notice."""

from __future__ import annotations

from walnutpost.consensus import SafetyRules
from walnutpost.testsupport.consensus.faulty_safety_rules import BROKEN_RULES


def test_every_safety_rule_has_a_broken_version() -> None:
    rules = {name for name in vars(SafetyRules) if not name.startswith("_")}
    broken = {name for kind in BROKEN_RULES for name in vars(kind) if not name.startswith("_")}
    assert set(broken) == rules
