"""The text of commands in the history, which programs read: it does not follow names in the code."""

from __future__ import annotations

import pytest

from walnutpost.configstore.messages import Mutation
from walnutpost.fleet import ApplyChangeSet, ForgetMember, StartPlan, command_name, describe_command
from walnutpost.testsupport.fleet.command_samples import COMMANDS

# By the golden name of a command: its published name and text.
PUBLISHED: dict[str, tuple[str, str]] = {
    "enter.all-fields": (
        "enter",
        "member=w1, kind=worker, zone=a, incarnation=i-1, version=v-1, follows=True, address=10.0.0.1:9001",
    ),
    "enter.defaults": ("enter", "member=f1, kind=front_end, zone=b, incarnation=i-2"),
    "silent.all-fields": ("silent", "member=w1, incarnation=i-1"),
    "heard-again.all-fields": ("heard", "member=w1, incarnation=i-1"),
    "forget.all-fields": ("forget", "member=w1"),
    "permit-request.all-fields": ("ask", "member=w1, holder=w1@h, why=release, plan=plan-1"),
    "permit-request.defaults": ("ask", "member=w1, holder=w1@h, why=by hand"),
    "permit-begun.all-fields": ("began", "permit=p11, holder=w1@h"),
    "permit-given-up.all-fields": ("unbegun", "permit=p11, holder=w1@h"),
    "cleared.all-fields": ("clear", "permit=p11, acted=2 of them"),
    "return.all-fields": ("return", "member=w1, operator=ann"),
    "back.all-fields": (
        "back",
        "permit=p11, holder=w1@h, incarnation=i-4, version=v-2, failed=it ended at once, "
        "address=10.0.0.2:9002",
    ),
    "back.defaults": ("back", "permit=p11, holder=w1@h, incarnation=i-4"),
    "remove-permit.all-fields": ("remove", "permit=p11, operator=ann"),
    "keep-version.all-fields": ("keep", "version=v-2, content=9 bytes"),
    "plan.all-fields": (
        "start",
        "plan=plan-2, members=('w1', 'w2'), version=v-2, steps=(0.25, 0.5, 1.0), back=v-1, "
        "stay=True, replaces=plan-1",
    ),
    "plan.defaults": ("start", "plan=plan-1, members=('w1', 'w2'), steps=(1.0,), judged=True"),
    "judgement.all-fields": (
        "judge",
        "plan=plan-1, step=1, good=True, why=as before, before=(21, 22, 23, 24)",
    ),
    "judgement.defaults": ("judge", "plan=plan-1"),
    "halt.all-fields": ("halt", "why=too many failures, plan=plan-1"),
    "halt.defaults": ("halt", "why=too many failures"),
    "resume.all-fields": ("resume", "plan=plan-1"),
    "resume.defaults": ("resume", ""),
    "done-without-quorum.all-fields": (
        "alone",
        "member=w1, operator=ann, why=fire, version=v-2, at=1600000000.5",
    ),
    "budgets.all-fields": ("setbudgets", "budgets=2 of them"),
    "table-change.all-fields": ("setentries", "ops=function/f1 tenant/t-1 (deleted), base=31, operator=ann"),
    "table-change.defaults": ("setentries", "ops=function/f1, base=31"),
    "table-followers.all-fields": (
        "followers",
        "joined=(('f1', 'i-2'), ('f2', 'i-3')), left=(('f3', 'i-5'),)",
    ),
    "table-followers.defaults": ("followers", ""),
}


@pytest.mark.parametrize("name", COMMANDS)
def test_command_text_of_each_golden_command_is_the_published_one(name: str) -> None:
    command = COMMANDS[name]
    assert (command_name(command), describe_command(command)) == PUBLISHED[name]


def test_command_text_when_a_change_set_is_large_shows_the_first_keys_and_how_many_follow() -> None:
    mutations = tuple(Mutation(f"function/f{n}", None if n == 1 else b"{}") for n in range(7))
    keys = "function/f0 function/f1 (deleted) function/f2 function/f3 function/f4 and 2 more"
    assert describe_command(ApplyChangeSet(mutations, 3, "ann")) == f"ops={keys}, base=3, operator=ann"


def test_command_text_when_a_list_is_long_shows_its_length() -> None:
    members = tuple(f"member-{n}" for n in range(10))
    assert (
        describe_command(StartPlan("p", members)) == "plan=p, members=10 of them, steps=(1.0,), judged=True"
    )


def test_command_text_when_no_field_is_set_is_empty() -> None:
    assert describe_command(ForgetMember("")) == ""
