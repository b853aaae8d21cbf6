"""Reports in random orders, compared with the truth, and with rules broken on purpose."""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random
from types import ModuleType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.configstore import (
    applied_minimum,
    fleet_progress,
    home_relays,
    known_fleet,
    lag_tracker,
    member_registry,
    member_state,
    proved_revisions,
    registration_changes,
    relay_report,
    report_changes,
    report_handler,
)
from walnutpost.testsupport.configstore.progress_model import STEPS, ProgressModel

SIZES = [(500, 100), (2, 1), (1, 2)]
steps = st.lists(st.tuples(st.integers(0, len(STEPS) - 1), st.integers(0, 999)), min_size=10, max_size=120)


@pytest.mark.parametrize(("page", "named"), SIZES)
def test_in_any_order_of_events_all_claims_are_true(
    page: int, named: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reports lost, doubled, late; relays restarted and doubled; members that move, restart, are agreed on
    and forgotten; leaders that come and go. And once reports arrive, what is so is claimed."""
    monkeypatch.setattr(report_changes, "MAX_CHANGES_PER_REPORT", page)
    monkeypatch.setattr(lag_tracker, "MAX_LAGGING_REPORTED", named)

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(steps)
    def run(chosen: list[tuple[int, int]]) -> None:
        ProgressModel().run(chosen)

    run()
    for seed in range(100):  # and long ones, which hypothesis seldom draws
        ProgressModel().run(drawn(seed))


def drawn(seed: int) -> list[tuple[int, int]]:
    random = Random(seed)
    return [(random.randrange(len(STEPS)), random.randrange(1000)) for _ in range(120)]


UNREPORTED = "            found += [members[name].proved_revision for name in self._fleet.unreported]\n"
INDIVIDUAL = "found += [members[name].proved_revision for name in relay.individual]"
BROKEN = {
    "a new incarnation inherits": [
        (
            "= RegisteredMember(incarnation)\n",
            "= RegisteredMember(incarnation, members[name].proved_revision if name in members else 0)\n",
        )
    ],
    "a never heard member is ignored": [
        (
            UNREPORTED,
            UNREPORTED.replace(
                "unreported]",
                "unreported if members[name].last_report.heard_at_us is not None]",
            ),
        )
    ],
    "one that no relay tells of is ignored": [(UNREPORTED, "")],
    "those apart are ignored": [(INDIVIDUAL, "pass")],
    "a truncated list is taken as all": [
        ("others += [applied for applied, _ in lagging[MAX_LAGGING_REPORTED:]]", "pass")
    ],
    "any incarnation counts": [
        ("if progress is None or progress.incarnation != member.incarnation:", "if progress is None:")
    ],
    "a missed report is not noticed": [
        (
            "is_missing = summary.since_number != 0 and not relay.covers(summary.since_number)",
            "is_missing = False",
        ),
        ("if count != summary.member_count or len(", "if len("),
    ],
    "one who leaves takes back": [
        (
            "        self._proved.track_individually(home, name)\n        home.individual",
            "        home.common_count -= name not in home.individual\n        home.individual",
        )
    ],
    "a fall takes back": [
        ("relay.common_revision = max(relay.common_revision, reported)", "relay.common_revision = reported")
    ],
    "the sum speaks for those it names": [
        (
            "reported = min(listed.applied_revision, self._fleet.revision)",
            "reported = relay.reported_min_revision",
        )
    ],
    "apart is over before it has caught up": [
        ("if listed is None and member.proved_revision == relay.common_revision:", "if True:")
    ],
    "one that is named stays with the others": [
        ("if progress.member not in relay.lagging:", "if progress.member == '':")
    ],
    "a whole keeps whom it doesn't tell": [("for name in list(relay.members):", "for name in ():")],
    "leaves wait for a page": [("if name in self._possibly_known]", "if name in ()]")],
    "the sum is of some": [("for name in covered:", "for name in list(covered)[:1]:")],
    "a change on the way is taken as told": [
        ("if self._pending.get(name, number) < number:", "if name in self._pending:")
    ],
    "another incarnation isn't told": [
        (
            "former_incarnation,\n        )\n        self._mark_pending(request.member)",
            "former_incarnation,\n        )",
        )
    ],
    "a join is covered by the sum before it": [
        (
            "        self._proved.begin_individually(home, name)\n",
            "        self._proved.begin_individually(home, name)\n"
            "        self._proved.raise_member_bound(home, name)\n",
        )
    ],
    "agreed is proved": [
        (
            "            self._proved.raise_member_bound(member.home, name)\n",
            "            member.proved_revision = self._fleet.revision\n",
        )
    ],
    "unknown ones are not kept": [("self.mismatched.add(name)", "pass")],
}
RULES = (  # in the order of their imports
    member_state,
    report_changes,
    lag_tracker,
    member_registry,
    relay_report,
    known_fleet,
    applied_minimum,
    proved_revisions,
    home_relays,
    registration_changes,
    report_handler,
    fleet_progress,
)


@pytest.fixture(params=list(BROKEN))
def broken(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> dict[str, ModuleType]:
    """Copies of the modules of rules with one rule broken; each imports the copies before it."""
    sources = [Path(module.__file__ or "").read_text() for module in RULES]
    for right, wrong in BROKEN[request.param]:
        assert sum(source.count(right) for source in sources) == 1, right
        sources = [source.replace(right, wrong) for source in sources]
    copies: dict[str, ModuleType] = {}
    for module, source in zip(RULES, sources, strict=True):
        copy = ModuleType(module.__name__)
        monkeypatch.setitem(sys.modules, module.__name__, copy)
        exec(compile(source, f"broken {module.__name__}", "exec"), copy.__dict__)
        copies[module.__name__] = copy
    vars(copies[report_changes.__name__]).update(MAX_CHANGES_PER_REPORT=2)
    vars(copies[lag_tracker.__name__]).update(MAX_LAGGING_REPORTED=1)
    return copies


def test_a_rule_broken_on_purpose_is_found(broken: dict[str, ModuleType]) -> None:
    registry, progress = broken[member_registry.__name__], broken[fleet_progress.__name__]

    def run_scenarios() -> None:
        for seed in range(300):
            ProgressModel(progress.FleetProgress, registry.MemberRegistry).run(drawn(seed))

    with pytest.raises((AssertionError, KeyError)):
        run_scenarios()
