"""The objects behind the golden forms of the control plane: commands, answers, state, and a history."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from consensus_forms import MEMBERS
from golden_forms import Form, Golden, as_json, packed
from walnutpost.configstore.messages import Op
from walnutpost.configstore.table import Table
from walnutpost.consensus import EntryKind, LogEntry, Members
from walnutpost.fleet import FRONT_END, WORKER, Fleet, commands
from walnutpost.fleet.commands import (
    Acted,
    Alone,
    Answer,
    Ask,
    Back,
    Began,
    Budget,
    Clear,
    Command,
    Enter,
    Followers,
    Forget,
    Halt,
    Heard,
    Judge,
    Keep,
    Remove,
    Resume,
    Return,
    SetBudgets,
    SetEntries,
    Silent,
    Start,
    Unbegun,
    decode_at,
    encode,
)
from walnutpost.fleet.sight import Seen, Sight
from walnutpost.fleet.state import Member, Permit, Plan, State

ASKED_AT = 1_700_000_000.25  # seconds by the asker's clock

# Each type of command with each field set, and with the defaults in force

COMMANDS: dict[str, Command] = {
    "enter.all-fields": Enter(
        member="w1",
        kind=WORKER,
        zone="a",
        incarnation="i-1",
        version="v-1",
        follows=True,
        address="10.0.0.1:9001",
    ),
    "enter.defaults": Enter(member="f1", kind=FRONT_END, zone="b", incarnation="i-2"),
    "silent.all-fields": Silent(member="w1", incarnation="i-1"),
    "heard-again.all-fields": Heard(member="w1", incarnation="i-1"),
    "forget.all-fields": Forget(member="w1"),
    "permit-request.all-fields": Ask(member="w1", holder="w1@h", why="release", plan="plan-1"),
    "permit-request.defaults": Ask(member="w1", holder="w1@h", why="by hand"),
    "permit-begun.all-fields": Began(permit="p11", holder="w1@h"),
    "permit-given-up.all-fields": Unbegun(permit="p11", holder="w1@h"),
    "cleared.all-fields": Clear(
        permit="p11", acted=(Acted(member="f1", incarnation="i-2", index=12), Acted("f2", "i-3", 13))
    ),
    "return.all-fields": Return(member="w1", operator="ann"),
    "back.all-fields": Back(
        permit="p11",
        holder="w1@h",
        incarnation="i-4",
        version="v-2",
        failed="it ended at once",
        address="10.0.0.2:9002",
    ),
    "back.defaults": Back(permit="p11", holder="w1@h", incarnation="i-4"),
    "remove-permit.all-fields": Remove(permit="p11", operator="ann"),
    "keep-version.all-fields": Keep(version="v-2", content=b"\x00\xffcontent"),
    "plan.all-fields": Start(
        plan="plan-2",
        members=("w1", "w2"),
        version="v-2",
        steps=(0.25, 0.5, 1.0),
        back="v-1",
        stay=True,
        replaces="plan-1",
        judged=False,
    ),
    "plan.defaults": Start(plan="plan-1", members=("w1", "w2")),
    "judgement.all-fields": Judge(plan="plan-1", step=1, good=True, why="as before", before=(21, 22, 23, 24)),
    "judgement.defaults": Judge(plan="plan-1", step=0, good=False),
    "halt.all-fields": Halt(why="too many failures", plan="plan-1"),
    "halt.defaults": Halt(why="too many failures"),
    "resume.all-fields": Resume(plan="plan-1"),
    "resume.defaults": Resume(),
    "done-without-quorum.all-fields": Alone(
        member="w1", operator="ann", why="fire", version="v-2", at=1_600_000_000.5
    ),
    "budgets.all-fields": SetBudgets(
        budgets=(Budget(kind=WORKER, zone="*", most=2, share=0.25), Budget(kind=FRONT_END))
    ),
    "table-change.all-fields": SetEntries(
        ops=(Op(key="function/f1", value=b'{"weight": 2}'), Op(key="tenant/t-1", value=None)),
        base=31,
        operator="ann",
    ),
    "table-change.defaults": SetEntries(ops=(Op(key="function/f1", value=b"{}"),), base=31),
    "table-followers.all-fields": Followers(joined=(("f1", "i-2"), ("f2", "i-3")), left=(("f3", "i-5"),)),
    "table-followers.defaults": Followers(),
}

# A history that leaves something of everything in the state

HISTORY_COMMANDS: tuple[Command, ...] = (
    SetBudgets((Budget(FRONT_END, most=1), Budget(WORKER, "*", share=0.5))),
    Enter("w1", WORKER, "a", "i-w1", "v-1", False, "10.0.0.1:9001"),
    Enter("w2", WORKER, "b", "i-w2", "v-1", False, "10.0.0.2:9001"),
    Enter("w3", WORKER, "b", "i-w3", "v-1", False, "10.0.0.3:9001"),
    Enter("f1", FRONT_END, "a", "i-f1", "v-1", True),
    Enter("f2", FRONT_END, "b", "i-f2", "v-1", True),
    Enter("f3", FRONT_END, "b", "i-f3"),
    Keep("v-1", b'{"version": 1}'),
    Keep("v-2", b"\x00\xffsecond"),
    SetEntries((Op("function/f1", b'{"weight": 1}'), Op("tenant/t-1", b"{}")), 0, "ann"),
    SetEntries((Op("function/f1", b'{"weight": 2}'), Op("tenant/t-1", None)), 12, "ann"),
    SetEntries((Op("class/c_1", b"{}"),), 12),  # on a table that has changed meanwhile
    Followers((("f1", "i-f1"), ("f2", "i-f2"), ("f9", "i-f9"))),
    Followers((("f2", "i-f2b"),), (("f9", "i-f9"),)),
    Start("release-1", ("w1", "w2", "w3"), "v-2", (0.7, 1.0), "v-1"),
    Ask("w1", "w1@h", "release", "release-1"),
    Began("p18", "w1@h"),
    Clear("p18", (Acted("f1", "i-f1", 18), Acted("f2", "i-f2", 18))),
    Back("p18", "w1@h", "i-w1b", "v-2", "", "10.0.0.1:9002"),
    Judge("release-1", 0, True, "as before", (1, 2, 3, 4)),
    Ask("w2", "w2@h", "release", "release-1"),
    Began("p23", "w2@h"),
    Clear("p23", (Acted("f1", "i-f1", 23), Acted("f2", "i-f2", 24))),
    Silent("f3", "i-f3"),
    Ask("f1", "f1@h", "by hand"),  # the budget is used up
    Heard("f3", "i-f3"),
    Start("drain-1", ("f1",), stay=True),
    Ask("f1", "f1@h", "drain", "drain-1"),
    Began("p30", "f1@h"),
    Return("f1", "ann"),
    Ask("w3", "w3@h", "by hand"),  # its zone has one out already
    Halt("not today", "drain-1"),
    Alone("f2", "ann", "fire", "v-1", 1_600_000_000.5),
    Silent("w3", "i-w3"),  # the budget is used up by it: the release halts
    Halt("night"),
    Forget("nobody"),
)
OF_FORMAT_2 = bytes.fromhex("930292a6466f72676574a27731cb0000000000000000")  # refused by this version
OF_A_VERSION_WITHOUT_TIMES = bytes.fromhex("920192a6466f72676574a27731")  # read, no longer written
FIRST = 3  # the index of its first command: an opening and a membership come before


def _asked(number: int) -> tuple[str, float]:
    return f"asker-{number}", ASKED_AT + number


def history(members: Members = MEMBERS) -> tuple[LogEntry, ...]:
    """The history as the log holds it; at its end a command that is asked again, and one that is refused."""
    entries = [
        LogEntry(1, 1, EntryKind.OPENING),
        LogEntry(2, 1, EntryKind.MEMBERS, "found", b"", members),
    ]
    for index, command in enumerate(HISTORY_COMMANDS, FIRST):
        id, at = _asked(index)
        entries.append(LogEntry(index, 2, EntryKind.COMMAND, id, encode(command, at)))
    last = entries[-1].index
    entries.append(
        LogEntry(last + 1, 3, EntryKind.COMMAND, _asked(FIRST)[0], encode(HISTORY_COMMANDS[0]))
    )  # again
    entries.append(LogEntry(last + 2, 3, EntryKind.COMMAND, "another-format", OF_FORMAT_2))
    return tuple(entries)


def applied(fleet: Fleet, entries: tuple[LogEntry, ...]) -> list[Answer]:
    return [fleet.apply(e.index, e.id, e.data) for e in entries if e.kind is EntryKind.COMMAND]


def rich_fleet() -> Fleet:
    fleet = Fleet()
    applied(fleet, history())
    return fleet


def full_fleet() -> Fleet:
    """Each field of the state with a value of its own."""
    table = Table()
    table.change(61, (Op("function/f1", b"{}"),))
    return Fleet(
        State(
            index=62,
            listed=63,
            members={
                "w1": Member(
                    kind=WORKER,
                    zone="a",
                    incarnation="i-1",
                    version="v-1",
                    silent=True,
                    follows=False,
                    address="10.0.0.1:9001",
                ),
                "f1": Member(
                    kind=FRONT_END,
                    zone="b",
                    incarnation="i-2",
                    version="v-2",
                    silent=False,
                    follows=True,
                    address="10.0.0.2:9001",
                ),
                "f2": Member(kind=FRONT_END, zone="b", incarnation="i-3"),
            },
            permits={
                "p64": Permit(
                    id="p64",
                    member="w1",
                    holder="w1@h",
                    why="release",
                    at=64,
                    plan="plan-1",
                    began=True,
                    cleared=65,
                    acted=(Acted(member="f1", incarnation="i-2", index=66),),
                    returning=False,
                ),
                "p67": Permit(
                    id="p67", member="f1", holder="f1@h", why="drain", at=67, plan="plan-2", returning=True
                ),
                "p68": Permit(id="p68", member="f2", holder="f2@h", why="by hand", at=68),
            },
            plans={
                "plan-1": Plan(
                    id="plan-1",
                    order=["w1", "f1"],
                    version="v-2",
                    steps=[0.25, 1.0],
                    back="v-1",
                    step=1,
                    done=["w1"],
                    halted="too many failures",
                    ended="replaced by plan-2",
                    stay=True,
                    judged=False,
                    before=(71, 72, 73, 74),
                ),
                "plan-2": Plan(id="plan-2", order=["f1"], version="", steps=[1.0], back=""),
            },
            versions={"v-1": b"first", "v-2": b"\x00\xffsecond"},
            budgets=[Budget(kind=WORKER, zone="*", most=2, share=0.25), Budget(kind=FRONT_END)],
            halted="night",
            alone=[Alone(member="w1", operator="ann", why="fire", version="v-2", at=1_600_000_000.5)],
            answers={
                "asker-1": Answer(done=False, index=75, why="nobody is out", permit="p75"),
                "asker-2": Answer(done=True, index=76),
            },
            followers={"f1": "i-2", "f2": "i-3"},
        ),
        table,
    )


def fleet_seen(fleet: Fleet) -> dict[str, Any]:
    """What two fleets are compared by: dicts in their order, which decides who goes first."""
    table, state = fleet.table, fleet.state
    orders = [
        list(held) for held in (state.members, state.permits, state.plans, state.versions, state.answers)
    ]
    held = (table.revision, table.floor, table.digest, dict(table.entries), table.since(table.floor))
    return {"state": state, "orders": orders, "table": held}


def _snapshot(fleet: Fleet, table: bool = True) -> Form:
    return Form(fleet, lambda f: f.snapshot(table), Fleet.restore, fleet_seen)


def _command(command: Command, at: float = ASKED_AT) -> Form:
    """As the log holds it, with the time by the asker's clock."""
    return Form((command, at), lambda told: encode(*told), decode_at)


def _answers() -> list[Answer]:
    return applied(Fleet(), history())


def _without_table(fleet: Fleet) -> Fleet:
    return Fleet(fleet.state)


SIGHT = Sight(
    index=81,
    workers=(
        Seen(name="w1", zone="a", address="10.0.0.1:9001", incarnation="i-1", age=82, leaving=True),
        Seen(name="w2", zone="", address="", incarnation="i-2", age=0, leaving=False),
    ),
)

FORMS: dict[str, Form] = {
    **{f"command.{name}": _command(command) for name, command in COMMANDS.items()},
    "command.asked-at-no-known-time": Form(COMMANDS["forget.all-fields"], encode, commands.decode),
    "command.of-a-version-without-times": Form(
        (COMMANDS["forget.all-fields"], 0.0), lambda _: OF_A_VERSION_WITHOUT_TIMES, decode_at
    ),
    "answer.all-fields": packed(Answer(done=False, index=91, why="no member w1", permit="p91")),
    "answer.defaults": packed(Answer(done=True, index=92)),
    "worker-list.all-fields": packed(SIGHT),
    "state-snapshot.every-field": _snapshot(full_fleet()),
    "state-snapshot.after-the-history": _snapshot(rich_fleet()),
    "state-snapshot.without-table": _snapshot(_without_table(rich_fleet()), table=False),
    "state-snapshot.empty": _snapshot(Fleet()),
    "history.entries": packed(history(), tuple[LogEntry, ...]),
    "history.answers": packed(_answers(), list[Answer]),
    "names": as_json(
        {
            "format": commands.FORMAT,
            "front end": FRONT_END,
            "worker": WORKER,
        }
    ),
}

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "control-plane.json",
    "The control plane: commands as the log holds them, answers, the list of workers that front ends are "
    "sent, snapshots of the state, and a history with the answers that it gives. Names don't follow those of "
    "classes.",
    FORMS,
)
