"""Messages of the control plane that the golden file holds: between replicas, and with clients."""

from __future__ import annotations

from walnutpost.configstore.messages import Entry, Mutation
from walnutpost.consensus import EntryKind, LogEntry
from walnutpost.controlplane import wire
from walnutpost.controlplane.history import describe_entry
from walnutpost.controlplane.wire import (
    ChangeSetRequest,
    CommandReply,
    CommandRequest,
    ConfigEntries,
    History,
    HistoryEntry,
    MembershipRequest,
    PeerMessages,
    ReplicaStatus,
    Report,
    decode,
    encode,
)
from walnutpost.fleet import CommandResult
from walnutpost.fleet import encode as encode_command
from walnutpost.fleet.endpoints import Endpoint, EndpointSnapshot
from walnutpost.testsupport.consensus.message_samples import MEMBERS, MESSAGES
from walnutpost.testsupport.fleet import command_samples
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, as_json

ENTRY = HistoryEntry(
    index=211,
    term=212,
    sent_at_s=1_700_000_000.25,
    id="asker-1",
    command="enter",
    description="member=w1",
    result=CommandResult(ok=False, index=213, error="no member w1", permit="p213"),
)
ENTRY_WITHOUT_RESULT = HistoryEntry(
    index=214, term=215, sent_at_s=0.0, id="", command="opening", description="", result=None
)

MESSAGES_BY_NAME: dict[str, wire.AnyMessage] = {
    "messages.every-type": PeerMessages(to="k2#bb", messages=tuple(MESSAGES.values())),
    "messages.none": PeerMessages(to="k2#bb", messages=()),
    "command-request.all-fields": CommandRequest(id="asker-1", command=b"\x00\xffcommand"),
    "table-change-request.all-fields": ChangeSetRequest(
        id="asker-2",
        mutations=(Mutation(key="function/f1", value=b"{}"), Mutation(key="tenant/t-1", value=None)),
        is_dry_run=True,
        operator="ann",
        read_revision=201,
    ),
    "table-change-request.defaults": ChangeSetRequest(
        id="asker-2", mutations=(Mutation(key="function/f1", value=b"{}"),)
    ),
    "report.all-fields": Report(
        member="f1", incarnation="i-2", applied_index=202, call_counts=(203, 204, 205, 206)
    ),
    "report.defaults": Report(member="f1", incarnation="i-2"),
    "membership-request.all-fields": MembershipRequest(id="asker-3", members=MEMBERS),
    "answer.all-fields": CommandReply(
        result=CommandResult(ok=True, index=207, error="as before", permit="p207"),
        outcome_known=False,
        reason="no quorum",
        leader="k1",
        endpoints=EndpointSnapshot(
            index=208, workers=(Endpoint("w1", "a", "10.0.0.1:9001", "i-1", 209, True),)
        ),
        errors=("key 'x': found 1, wanted 2",),
    ),
    "answer.defaults": CommandReply(),
    "history-answer.all-fields": History(first_index=210, entries=(ENTRY, ENTRY_WITHOUT_RESULT)),
    "state-answer.all-fields": ReplicaStatus(
        index=216,
        replica="k1",
        leader="k2",
        term=217,
        members=MEMBERS,
        state=b"\x00\xffstate",
        is_confirmed=True,
        pending_verdicts={"plan-1": "1 members of step 0 are not back"},
    ),
    "state-answer.disk-fails": ReplicaStatus(
        index=216,
        replica="k1",
        leader="",
        term=217,
        members=MEMBERS,
        state=b"",
        is_confirmed=False,
        disk_failure="disk I/O error",
    ),
    "state-answer.defaults": ReplicaStatus(
        index=216, replica="k1", leader="k2", term=217, members=MEMBERS, state=b"", is_confirmed=False
    ),
    "entries-answer.all-fields": ConfigEntries(
        revision=218, entries=(Entry(key="function/f1", value=b"\x00\xff", revision=219),)
    ),
}


def history_answer() -> History:
    """Return the response of a replica with the golden history; commands are described by type names."""
    results = command_samples.rich_fleet().state.results
    return History(1, tuple(describe_entry(entry, results) for entry in command_samples.history()))


def described_commands() -> dict[str, list[str]]:
    """Return each golden command's name and description in the history, by its golden name."""
    described = {}
    for name, command in command_samples.COMMANDS.items():
        data = encode_command(command, command_samples.ASKED_AT)
        entry = describe_entry(LogEntry(1, 1, EntryKind.COMMAND, "", data), {})
        described[name] = [entry.command, entry.description]
    return described


def state_answer() -> ReplicaStatus:
    """Return the status of a replica that has applied the golden history."""
    fleet = command_samples.rich_fleet()
    pending_verdicts = {"release-1": "1 members of step 1 are not back"}
    state = fleet.snapshot(config_store=False)
    return ReplicaStatus(fleet.state.index, "k1", "k1", 3, MEMBERS, state, True, pending_verdicts)


def entries_answer() -> ConfigEntries:
    """Return the configuration's entries after the golden history."""
    store = command_samples.rich_fleet().config_store
    return ConfigEntries(store.revision, tuple(store.entries[key] for key in sorted(store.entries)))


def message(value: wire.AnyMessage) -> Form:
    """Return the form of a message as replicas and clients send it."""
    return Form(value, encode, lambda data: decode(data, type(value)))


FORMS: dict[str, Form] = {
    **{name: message(value) for name, value in MESSAGES_BY_NAME.items()},
    "state-answer.after-the-history": message(state_answer()),
    "history-answer.of-the-history": message(history_answer()),
    "entries-answer.after-the-history": message(entries_answer()),
    "commands-in-words": as_json(described_commands()),
    "names": as_json(
        {
            "format": wire.FORMAT,
            "messages": wire.MESSAGES_PATH,
            "commands": wire.COMMANDS_PATH,
            "state": wire.STATE_PATH,
            "reports": wire.REPORTS_PATH,
            "members": wire.MEMBERS_PATH,
            "history": wire.HISTORY_PATH,
            "table change": wire.CHANGE_PATH,
            "table entries": wire.ENTRIES_PATH,
            "keeper of a replica": wire.replica_name("k1#aa"),
        }
    ),
}

GOLDEN = Golden(
    golden_folder("controlplane") / "control-plane-requests.json",
    "Requests to the processes of the control plane and their answers (msgpack by field names), and how a "
    "history is told in words. Names don't follow those of classes.",
    FORMS,
)
