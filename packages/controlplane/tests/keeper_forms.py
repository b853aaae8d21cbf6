"""The objects behind the golden forms of what keepers and those who ask them send each other."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import cast

import fleet_forms
from consensus_forms import MEMBERS, MESSAGES
from golden_forms import Form, Golden, as_json
from walnutpost.configstore.messages import Entry, Mutation
from walnutpost.consensus import EntryKind, LogEntry
from walnutpost.controlplane import Keeper, wire
from walnutpost.controlplane.wire import (
    Entries,
    History,
    Line,
    Membership,
    Order,
    Post,
    Report,
    SetOrder,
    Told,
    View,
    decode,
    encode,
)
from walnutpost.fleet import CommandResult, Fleet
from walnutpost.fleet import encode as encode_command
from walnutpost.fleet.endpoints import Endpoint, EndpointSnapshot

LINE = Line(
    index=211,
    term=212,
    at=1_700_000_000.25,
    id="asker-1",
    what="enter",
    told="member=w1",
    answer=CommandResult(ok=False, index=213, error="no member w1", permit="p213"),
)
LINE_WITHOUT_ANSWER = Line(index=214, term=215, at=0.0, id="", what="opening", told="", answer=None)

MESSAGES_BY_NAME: dict[str, wire.Spoken] = {
    "messages.every-type": Post(to="k2#bb", messages=tuple(MESSAGES.values())),
    "messages.none": Post(to="k2#bb", messages=()),
    "command-request.all-fields": Order(id="asker-1", command=b"\x00\xffcommand"),
    "table-change-request.all-fields": SetOrder(
        id="asker-2",
        ops=(Mutation(key="function/f1", value=b"{}"), Mutation(key="tenant/t-1", value=None)),
        dry=True,
        operator="ann",
        seen=201,
    ),
    "table-change-request.defaults": SetOrder(id="asker-2", ops=(Mutation(key="function/f1", value=b"{}"),)),
    "report.all-fields": Report(member="f1", incarnation="i-2", acts=202, figures=(203, 204, 205, 206)),
    "report.defaults": Report(member="f1", incarnation="i-2"),
    "membership-request.all-fields": Membership(id="asker-3", members=MEMBERS),
    "answer.all-fields": Told(
        answer=CommandResult(ok=True, index=207, error="as before", permit="p207"),
        sure=False,
        why="no quorum",
        leader="k1",
        sight=EndpointSnapshot(index=208, workers=(Endpoint("w1", "a", "10.0.0.1:9001", "i-1", 209, True),)),
        errors=("key 'x': found 1, wanted 2",),
    ),
    "answer.defaults": Told(),
    "history-answer.all-fields": History(first=210, lines=(LINE, LINE_WITHOUT_ANSWER)),
    "state-answer.all-fields": View(
        index=216,
        keeper="k1",
        leader="k2",
        term=217,
        members=MEMBERS,
        state=b"\x00\xffstate",
        asked=True,
        waits={"plan-1": "1 members of step 0 are not back"},
    ),
    "state-answer.disk-fails": View(
        index=216,
        keeper="k1",
        leader="",
        term=217,
        members=MEMBERS,
        state=b"",
        asked=False,
        disk="disk I/O error",
    ),
    "state-answer.defaults": View(
        index=216, keeper="k1", leader="k2", term=217, members=MEMBERS, state=b"", asked=False
    ),
    "entries-answer.all-fields": Entries(
        revision=218, entries=(Entry(key="function/f1", value=b"\x00\xff", revision=219),)
    ),
}


def history_answer() -> History:
    """What a keeper answers that holds the golden history: commands by their types' names, in words."""
    keeper = cast(Keeper, SimpleNamespace(fleet=fleet_forms.rich_fleet()))
    return History(1, tuple(Keeper._line(keeper, entry) for entry in fleet_forms.history()))


def command_lines() -> dict[str, list[str]]:
    """By golden name of a command: what `history` says that it is, and its words."""
    keeper = cast(Keeper, SimpleNamespace(fleet=Fleet()))
    told = {}
    for name, command in fleet_forms.COMMANDS.items():
        data = encode_command(command, fleet_forms.ASKED_AT)
        line = Keeper._line(keeper, LogEntry(1, 1, EntryKind.COMMAND, "", data))
        told[name] = [line.what, line.told]
    return told


def state_answer() -> View:
    fleet = fleet_forms.rich_fleet()
    waits = {"release-1": "1 members of step 1 are not back"}
    return View(fleet.state.index, "k1", "k1", 3, MEMBERS, fleet.snapshot(table=False), True, waits)


def entries_answer() -> Entries:
    table = fleet_forms.rich_fleet().table
    return Entries(table.revision, tuple(table.entries[key] for key in sorted(table.entries)))


def message(value: wire.Spoken) -> Form:
    return Form(value, encode, lambda data: decode(data, type(value)))


FORMS: dict[str, Form] = {
    **{name: message(value) for name, value in MESSAGES_BY_NAME.items()},
    "state-answer.after-the-history": message(state_answer()),
    "history-answer.of-the-history": message(history_answer()),
    "entries-answer.after-the-history": message(entries_answer()),
    "commands-in-words": as_json(command_lines()),
    "names": as_json(
        {
            "format": wire.FORMAT,
            "messages": wire.MESSAGES,
            "commands": wire.COMMANDS,
            "state": wire.STATE,
            "reports": wire.REPORTS,
            "members": wire.MEMBERS,
            "history": wire.HISTORY,
            "table change": wire.CHANGE,
            "table entries": wire.ENTRIES,
            "keeper of a replica": wire.keeper_of("k1#aa"),
        }
    ),
}

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "control-plane-requests.json",
    "Requests to the processes of the control plane and their answers (msgpack by field names), and how a "
    "history is told in words. Names don't follow those of classes.",
    FORMS,
)
