"""Commands, results, fleet states and a log history that the golden file of the control plane holds."""

from __future__ import annotations

from typing import Any

from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import EntryKind, LogEntry, Members
from walnutpost.fleet import FRONT_END, WORKER, Fleet, commands
from walnutpost.fleet.commands import (
    AbandonPermit,
    Acknowledgement,
    ApplyChangeSet,
    BeginPermit,
    Command,
    CommandFrame,
    CommandResult,
    CompletePermit,
    ConfirmPermit,
    DisruptionBudget,
    EndDrain,
    ForgetMember,
    HaltPlan,
    MarkResponsive,
    MarkUnresponsive,
    RecordManualChange,
    RecordStepVerdict,
    RegisterMember,
    RequestPermit,
    ResumePlan,
    RevokePermit,
    SetBudgets,
    StartPlan,
    StoreVersion,
    UpdateFollowers,
    decode_frame,
    encode,
)
from walnutpost.fleet.endpoints import Endpoint, EndpointSnapshot
from walnutpost.fleet.state import FleetState, Member, Permit, Plan
from walnutpost.testsupport.consensus.message_samples import MEMBERS
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, as_json, packed

ASKED_AT = 1_700_000_000.25  # seconds since the epoch by the sender's clock

# Each command type: once with every field set, and once with the defaults if it has any.

COMMANDS: dict[str, Command] = {
    "enter.all-fields": RegisterMember(
        member="w1",
        kind=WORKER,
        zone="a",
        incarnation="i-1",
        version="v-1",
        follows_endpoints=True,
        address="10.0.0.1:9001",
    ),
    "enter.defaults": RegisterMember(member="f1", kind=FRONT_END, zone="b", incarnation="i-2"),
    "silent.all-fields": MarkUnresponsive(member="w1", incarnation="i-1"),
    "heard-again.all-fields": MarkResponsive(member="w1", incarnation="i-1"),
    "forget.all-fields": ForgetMember(member="w1"),
    "permit-request.all-fields": RequestPermit(member="w1", holder="w1@h", reason="release", plan="plan-1"),
    "permit-request.defaults": RequestPermit(member="w1", holder="w1@h", reason="by hand"),
    "permit-begun.all-fields": BeginPermit(permit="p11", holder="w1@h"),
    "permit-given-up.all-fields": AbandonPermit(permit="p11", holder="w1@h"),
    "cleared.all-fields": ConfirmPermit(
        permit="p11",
        acknowledgements=(
            Acknowledgement(member="f1", incarnation="i-2", index=12),
            Acknowledgement("f2", "i-3", 13),
        ),
    ),
    "return.all-fields": EndDrain(member="w1", operator="ann"),
    "back.all-fields": CompletePermit(
        permit="p11",
        holder="w1@h",
        incarnation="i-4",
        version="v-2",
        failure="it ended at once",
        address="10.0.0.2:9002",
    ),
    "back.defaults": CompletePermit(permit="p11", holder="w1@h", incarnation="i-4"),
    "remove-permit.all-fields": RevokePermit(permit="p11", operator="ann"),
    "keep-version.all-fields": StoreVersion(version="v-2", content=b"\x00\xffcontent"),
    "plan.all-fields": StartPlan(
        plan="plan-2",
        members=("w1", "w2"),
        version="v-2",
        steps=(0.25, 0.5, 1.0),
        rollback_version="v-1",
        keeps_members_out=True,
        replaces="plan-1",
        requires_verdict=False,
    ),
    "plan.defaults": StartPlan(plan="plan-1", members=("w1", "w2")),
    "judgement.all-fields": RecordStepVerdict(
        plan="plan-1", step=1, passed=True, reason="as before", baseline=(21, 22, 23, 24)
    ),
    "judgement.defaults": RecordStepVerdict(plan="plan-1", step=0, passed=False),
    "halt.all-fields": HaltPlan(reason="too many failures", plan="plan-1"),
    "halt.defaults": HaltPlan(reason="too many failures"),
    "resume.all-fields": ResumePlan(plan="plan-1"),
    "resume.defaults": ResumePlan(),
    "done-without-quorum.all-fields": RecordManualChange(
        member="w1", operator="ann", reason="fire", version="v-2", recorded_at_s=1_600_000_000.5
    ),
    "budgets.all-fields": SetBudgets(
        budgets=(
            DisruptionBudget(kind=WORKER, zone="*", max_unavailable=2, max_unavailable_ratio=0.25),
            DisruptionBudget(kind=FRONT_END),
        )
    ),
    "table-change.all-fields": ApplyChangeSet(
        mutations=(
            Mutation(key="function/f1", value=b'{"weight": 2}'),
            Mutation(key="tenant/t-1", value=None),
        ),
        base_revision=31,
        operator="ann",
    ),
    "table-change.defaults": ApplyChangeSet(
        mutations=(Mutation(key="function/f1", value=b"{}"),), base_revision=31
    ),
    "table-followers.all-fields": UpdateFollowers(
        joined=(("f1", "i-2"), ("f2", "i-3")), left=(("f3", "i-5"),)
    ),
    "table-followers.defaults": UpdateFollowers(),
}

# A history after which each collection of the state has an entry.

HISTORY_COMMANDS: tuple[Command, ...] = (
    SetBudgets(
        (
            DisruptionBudget(FRONT_END, max_unavailable=1),
            DisruptionBudget(WORKER, "*", max_unavailable_ratio=0.5),
        )
    ),
    RegisterMember("w1", WORKER, "a", "i-w1", "v-1", False, "10.0.0.1:9001"),
    RegisterMember("w2", WORKER, "b", "i-w2", "v-1", False, "10.0.0.2:9001"),
    RegisterMember("w3", WORKER, "b", "i-w3", "v-1", False, "10.0.0.3:9001"),
    RegisterMember("f1", FRONT_END, "a", "i-f1", "v-1", True),
    RegisterMember("f2", FRONT_END, "b", "i-f2", "v-1", True),
    RegisterMember("f3", FRONT_END, "b", "i-f3"),
    StoreVersion("v-1", b'{"version": 1}'),
    StoreVersion("v-2", b"\x00\xffsecond"),
    ApplyChangeSet((Mutation("function/f1", b'{"weight": 1}'), Mutation("tenant/t-1", b"{}")), 0, "ann"),
    ApplyChangeSet((Mutation("function/f1", b'{"weight": 2}'), Mutation("tenant/t-1", None)), 12, "ann"),
    ApplyChangeSet((Mutation("class/c_1", b"{}"),), 12),  # refused: the store has changed since revision 12
    UpdateFollowers((("f1", "i-f1"), ("f2", "i-f2"), ("f9", "i-f9"))),
    UpdateFollowers((("f2", "i-f2b"),), (("f9", "i-f9"),)),
    StartPlan("release-1", ("w1", "w2", "w3"), "v-2", (0.7, 1.0), "v-1"),
    RequestPermit("w1", "w1@h", "release", "release-1"),
    BeginPermit("p18", "w1@h"),
    ConfirmPermit("p18", (Acknowledgement("f1", "i-f1", 18), Acknowledgement("f2", "i-f2", 18))),
    CompletePermit("p18", "w1@h", "i-w1b", "v-2", "", "10.0.0.1:9002"),
    RecordStepVerdict("release-1", 0, True, "as before", (1, 2, 3, 4)),
    RequestPermit("w2", "w2@h", "release", "release-1"),
    BeginPermit("p23", "w2@h"),
    ConfirmPermit("p23", (Acknowledgement("f1", "i-f1", 23), Acknowledgement("f2", "i-f2", 24))),
    MarkUnresponsive("f3", "i-f3"),
    RequestPermit("f1", "f1@h", "by hand"),  # refused: the budget is used up
    MarkResponsive("f3", "i-f3"),
    StartPlan("drain-1", ("f1",), keeps_members_out=True),
    RequestPermit("f1", "f1@h", "drain", "drain-1"),
    BeginPermit("p30", "f1@h"),
    EndDrain("f1", "ann"),
    RequestPermit("w3", "w3@h", "by hand"),  # refused: a worker of its zone is already unavailable
    HaltPlan("not today", "drain-1"),
    RecordManualChange("f2", "ann", "fire", "v-1", 1_600_000_000.5),
    MarkUnresponsive("w3", "i-w3"),  # it uses up the budget, so the release halts
    HaltPlan("night"),
    ForgetMember("nobody"),
)
OF_FORMAT_2 = bytes.fromhex("930292a6466f72676574a27731cb0000000000000000")  # refused by this version
OF_A_VERSION_WITHOUT_TIMES = bytes.fromhex("920192a6466f72676574a27731")  # read, no longer written
FIRST = 3  # index of the first command: an opening entry and a membership entry precede it


def _asked(number: int) -> tuple[str, float]:
    return f"asker-{number}", ASKED_AT + number


def history(members: Members = MEMBERS) -> tuple[LogEntry, ...]:
    """Return the log entries of the history.

    The last two are a command that is sent again with its former id, and one of an unknown format.
    """
    entries = [
        LogEntry(1, 1, EntryKind.OPENING),
        LogEntry(2, 1, EntryKind.MEMBERS, "found", b"", members),
    ]
    for index, command in enumerate(HISTORY_COMMANDS, FIRST):
        entry_id, at = _asked(index)
        entries.append(LogEntry(index, 2, EntryKind.COMMAND, entry_id, encode(command, at)))
    last = entries[-1].index
    entries.append(LogEntry(last + 1, 3, EntryKind.COMMAND, _asked(FIRST)[0], encode(HISTORY_COMMANDS[0])))
    entries.append(LogEntry(last + 2, 3, EntryKind.COMMAND, "another-format", OF_FORMAT_2))
    return tuple(entries)


def applied(fleet: Fleet, entries: tuple[LogEntry, ...]) -> list[CommandResult]:
    """Apply the commands among the entries to the fleet, and return their results."""
    return [fleet.apply(e.index, e.id, e.data) for e in entries if e.kind is EntryKind.COMMAND]


def rich_fleet() -> Fleet:
    """Return a fleet to which the whole history was applied."""
    fleet = Fleet()
    applied(fleet, history())
    return fleet


def full_fleet() -> Fleet:
    """Return a fleet with a distinct value in each field of its state."""
    table = ConfigStore()
    table.propose(61, (Mutation("function/f1", b"{}"),))
    return Fleet(
        FleetState(
            index=62,
            endpoints_index=63,
            members={
                "w1": Member(
                    kind=WORKER,
                    zone="a",
                    incarnation="i-1",
                    version="v-1",
                    unresponsive=True,
                    follows_endpoints=False,
                    address="10.0.0.1:9001",
                ),
                "f1": Member(
                    kind=FRONT_END,
                    zone="b",
                    incarnation="i-2",
                    version="v-2",
                    unresponsive=False,
                    follows_endpoints=True,
                    address="10.0.0.2:9001",
                ),
                "f2": Member(kind=FRONT_END, zone="b", incarnation="i-3"),
            },
            permits={
                "p64": Permit(
                    id="p64",
                    member="w1",
                    holder="w1@h",
                    reason="release",
                    granted_index=64,
                    plan="plan-1",
                    has_begun=True,
                    confirmed_index=65,
                    acknowledgements=(Acknowledgement(member="f1", incarnation="i-2", index=66),),
                    return_requested=False,
                ),
                "p67": Permit(
                    id="p67",
                    member="f1",
                    holder="f1@h",
                    reason="drain",
                    granted_index=67,
                    plan="plan-2",
                    return_requested=True,
                ),
                "p68": Permit(id="p68", member="f2", holder="f2@h", reason="by hand", granted_index=68),
            },
            plans={
                "plan-1": Plan(
                    id="plan-1",
                    members=["w1", "f1"],
                    version="v-2",
                    steps=[0.25, 1.0],
                    rollback_version="v-1",
                    step=1,
                    completed=["w1"],
                    halt_reason="too many failures",
                    end_reason="replaced by plan-2",
                    keeps_members_out=True,
                    requires_verdict=False,
                    baseline=(71, 72, 73, 74),
                ),
                "plan-2": Plan(id="plan-2", members=["f1"], version="", steps=[1.0], rollback_version=""),
            },
            versions={"v-1": b"first", "v-2": b"\x00\xffsecond"},
            budgets=[
                DisruptionBudget(kind=WORKER, zone="*", max_unavailable=2, max_unavailable_ratio=0.25),
                DisruptionBudget(kind=FRONT_END),
            ],
            halt_reason="night",
            manual_changes=[
                RecordManualChange(
                    member="w1", operator="ann", reason="fire", version="v-2", recorded_at_s=1_600_000_000.5
                )
            ],
            results={
                "asker-1": CommandResult(ok=False, index=75, error="nobody is out", permit="p75"),
                "asker-2": CommandResult(ok=True, index=76),
            },
            followers={"f1": "i-2", "f2": "i-3"},
        ),
        table,
    )


def fleet_seen(fleet: Fleet) -> dict[str, Any]:
    """Return what two fleets are compared by, including the order of each dict, which decides priorities."""
    table, state = fleet.config_store, fleet.state
    orders = [
        list(held) for held in (state.members, state.permits, state.plans, state.versions, state.results)
    ]
    held = (
        table.revision,
        table.compacted_revision,
        table.digest,
        dict(table.entries),
        table.changes_since(table.compacted_revision),
    )
    return {"state": state, "orders": orders, "table": held}


def _snapshot(fleet: Fleet, table: bool = True) -> Form:
    return Form(fleet, lambda f: f.snapshot(table), Fleet.restore, fleet_seen)


def _command(command: Command, at: float = ASKED_AT) -> Form:
    """Return the form of a command as the log holds it, with the sender's time."""
    return Form(_frame(command, at), lambda frame: encode(frame.command, frame.sent_at_s), decode_frame)


def _frame(command: Command, sent_at_s: float) -> CommandFrame:
    return CommandFrame(commands.FORMAT, command, sent_at_s)


def _answers() -> list[CommandResult]:
    return applied(Fleet(), history())


def _without_table(fleet: Fleet) -> Fleet:
    return Fleet(fleet.state)


SIGHT = EndpointSnapshot(
    index=81,
    workers=(
        Endpoint(
            name="w1", zone="a", address="10.0.0.1:9001", incarnation="i-1", age_us=82, is_draining=True
        ),
        Endpoint(name="w2", zone="", address="", incarnation="i-2", age_us=0, is_draining=False),
    ),
)

FORMS: dict[str, Form] = {
    **{f"command.{name}": _command(command) for name, command in COMMANDS.items()},
    "command.asked-at-no-known-time": Form(COMMANDS["forget.all-fields"], encode, commands.decode),
    "command.of-a-version-without-times": Form(
        _frame(COMMANDS["forget.all-fields"], 0.0), lambda _: OF_A_VERSION_WITHOUT_TIMES, decode_frame
    ),
    "answer.all-fields": packed(CommandResult(ok=False, index=91, error="no member w1", permit="p91")),
    "answer.defaults": packed(CommandResult(ok=True, index=92)),
    "worker-list.all-fields": packed(SIGHT),
    "state-snapshot.every-field": _snapshot(full_fleet()),
    "state-snapshot.after-the-history": _snapshot(rich_fleet()),
    "state-snapshot.without-table": _snapshot(_without_table(rich_fleet()), table=False),
    "state-snapshot.empty": _snapshot(Fleet()),
    "history.entries": packed(history(), tuple[LogEntry, ...]),
    "history.answers": packed(_answers(), list[CommandResult]),
    "names": as_json(
        {
            "format": commands.FORMAT,
            "front end": FRONT_END,
            "worker": WORKER,
        }
    ),
}

GOLDEN = Golden(
    golden_folder("fleet") / "control-plane.json",
    "The control plane: commands as the log holds them, answers, the list of workers that front ends are "
    "sent, snapshots of the state, and a history with the answers that it gives. Names don't follow those of "
    "classes.",
    FORMS,
)
