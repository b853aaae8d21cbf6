"""`walnutpost keeper` and `walnutpost fleet`: the agreed history, run and asked."""

from __future__ import annotations

import json
import secrets
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
from msgspec.structs import asdict

from walnutpost.agent import Agent, AgentError, order_path, version_of
from walnutpost.agreement import Members, Timing
from walnutpost.cli.configs import CONFIG, config_of, end
from walnutpost.cli.run import make_loop, stop_event
from walnutpost.config import ConfigError, keys_of, load
from walnutpost.config.base import address_of
from walnutpost.config.keepers import Keepers
from walnutpost.config.settings import us
from walnutpost.fleet import (
    FRONT_END,
    Answer,
    Budget,
    Command,
    Fleet,
    Forget,
    Halt,
    Judge,
    Keep,
    Plan,
    Remove,
    Resume,
    Return,
    SetBudgets,
    Start,
    State,
)
from walnutpost.fleet import Terms as Step
from walnutpost.fleet import budgets as rules
from walnutpost.fleet.steward import Terms
from walnutpost.keeper import Keeper, KeeperClient, KeeperError, NoAnswer
from walnutpost.keeper.wire import History, View
from walnutpost.loop import Loop
from walnutpost.store import StoreError
from walnutpost.trials.table import aligned

T = TypeVar("T")
AGENTS = "agents"  # beside the configuration: what agents of this machine hold on disk
PATIENCE, EACH = 10_000_000, 3_000_000
FORM = click.option("--format", "form", type=click.Choice(["table", "json"]), default="table")


def is_keepers(path: Path) -> bool:
    """Whether the file is about keepers, not about a front end."""
    return "keepers" in keys_of(path)


def keepers_of(path: Path) -> Keepers:
    try:
        return load(path, Keepers)
    except ConfigError as error:
        end(*error.lines)


@click.command()
@CONFIG
@click.option("--name", required=True, help="Which of CONFIG's keepers.")
@click.option("--found", is_flag=True, help="The first start of all keepers: they are each other's members.")
@click.pass_obj
def keeper(log: Any, config: Path, name: str, found: bool) -> None:
    """Run one keeper of the fleet's agreed history.

    Without --found, one whose folder is empty waits until the others have taken it in (`fleet keepers`).
    """
    checked = keepers_of(config)
    lines = {line.name: line for line in checked.keepers}
    if name not in lines:
        end(f"--name: found {name!r}; wanted one of {', '.join(lines)}")
    loop = make_loop(log)
    broken: list[KeeperError] = []

    def run() -> Keeper:
        stop = stop_event(loop, log)

        def failed(error: KeeperError) -> None:
            broken.append(error)
            stop.set()

        def at(address: str) -> Callable[[], tuple[str, int]]:
            return lambda: address_of(address)

        kept = Keeper(
            loop,
            name,
            {line.name: at(line.address) for line in checked.keepers},
            address_of(lines[name].listen or lines[name].address),
            config.parent / checked.folder,
            Timing(us(checked.election_ms), us(checked.heartbeat_ms)),
            us(checked.lease_ms),
            log,
            secrets.randbits(63),
            found,
            checked.log_most,
            checked.history_most,
            Step(checked.judge.calls, checked.judge.worse, checked.judge.sure),
            failed,
        )
        stop.wait()
        kept.stop()
        return kept

    try:
        loop.run(run).close()
    except (StoreError, OSError) as error:
        end(f"{config}: keeper {name}: {error}")
    if broken:
        end(f"keeper {name}: its disk failed: {broken[0]}", code=1)


@click.command()
@CONFIG
@click.option("--member", required=True, help="Which of CONFIG's agents.")
@click.pass_obj
def agent(log: Any, config: Path, member: str) -> None:
    """Run one process of the fleet and take it from version to version as agreed."""
    checked = keepers_of(config)
    lines = {line.member: line for line in checked.agents}
    if member not in lines:
        end(f"--member: found {member!r}; wanted one of {', '.join(lines) or 'none, there are no agents'}")
    line, loop = lines[member], make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        kept = Agent(
            loop,
            member,
            line.kind,
            line.zone,
            line.command,
            line.ready,
            (config.parent / line.first).read_bytes(),
            config.parent / AGENTS,
            {k.name: address_of(k.address) for k in checked.keepers},
            Terms(us(checked.begin_within_ms), us(line.ready_within_ms)),
            us(checked.lease_ms) // 4,
            log,
            follows=line.follows,
        )
        stop.wait()
        kept.stop()

    try:
        loop.run(run)
    except (AgentError, OSError) as error:
        end(f"{config}: agent {member}: {error}")


@click.group()
def fleet() -> None:
    """What the fleet has agreed on: who is out, what plans wait for, halts."""


def _with(config: Path, log: Any, ask: Callable[[KeeperClient], T]) -> T:
    """Asks within a loop; no answer ends the program with code 3."""
    loop: Loop = make_loop(log)
    addresses = {line.name: address_of(line.address) for line in keepers_of(config).keepers}
    try:
        return loop.run(lambda: ask(KeeperClient(loop, addresses, PATIENCE, EACH)))
    except NoAnswer as error:
        _nobody(error)


def _nobody(error: NoAnswer) -> NoReturn:
    end(f"no quorum of the keepers answered: {error}", code=3)


def _told(answer: Answer) -> None:
    if not answer.done:
        end(f"not done: {answer.why}", code=1)
    click.echo(f"agreed at {answer.index}")


@fleet.command()
@CONFIG
@FORM
@click.pass_obj
def status(log: Any, config: Path, form: str) -> None:
    """Who leads, what is halted, how far each budget is used, who is out and why."""
    view, agreed = _with(config, log, lambda client: client.state())
    told = _status(view, agreed)
    if form == "json":
        click.echo(json.dumps(told))
        return
    click.echo(f"index {told['index']}, led by {told['leader']} in term {told['term']}")
    click.echo(f"halted: {told['halted']}" if told["halted"] else "not halted")
    for line in told["budgets"]:
        click.echo(line)
    rows = [[o["member"], o["holder"], o["why"], o["waits"], o["permit"]] for o in told["out"]]
    click.echo(aligned([["out", "by", "why", "waits for", "permit"], *rows]) if rows else "nobody is out")
    for line in told["alone"]:
        click.echo(f"without a quorum: {line}")


def _status(view: View, agreed: Fleet) -> dict[str, Any]:
    state = agreed.state
    permits = {p.member: p for p in state.permits.values()}
    used: dict[str, None] = {}
    for member in state.members.values():
        for use in rules.uses(state.budgets, state.members, state.permits.values(), member.kind, member.zone):
            used[use.told] = None
    return {
        "index": view.index,
        "leader": view.leader,
        "term": view.term,
        "keepers": list(view.members.all),
        "halted": state.halted,
        "budgets": list(used),
        "out": [
            {
                "member": name,
                "holder": permits[name].holder if name in permits else "",
                "why": permits[name].why if name in permits else "not heard of for a lease",
                "waits": _out_waits(state, name),
                "permit": permits[name].id if name in permits else "",
            }
            for name in sorted(rules.out(state.members, state.permits.values()))
        ],
        "plans": {p.id: _plan(view, state, p) for p in state.plans.values()},
        "alone": [f"{a.member} by {a.operator}: {a.why} (to {a.version})" for a in state.alone],
    }


def _out_waits(state: State, name: str) -> str:
    """What stands between a member that is out and its coming back."""
    permit = next((p for p in state.permits.values() if p.member == name), None)
    if permit is None:
        return "a sign of life"
    if not permit.began:
        return "its holder to begin"
    plan = state.plans.get(permit.plan)
    if state.members[name].kind != FRONT_END and not permit.cleared:
        return f"all front ends to act on {permit.at}"
    return (
        "an operator"
        if plan is not None and plan.stay and not permit.returning
        else "its process to be ready"
    )


def _plan(view: View, state: State, p: Plan) -> dict[str, Any]:
    """A plan, and what it waits for."""
    waits = ""
    if not p.ended:
        waits = p.halted or state.halted or view.waits.get(p.id, "")
    if not waits and not p.ended:
        open_now = [m for m in p.order[: p.reached()] if m not in p.done]
        held = {q.member for q in state.permits.values() if q.plan == p.id}
        waits = ", ".join(f"{m} ({_out_waits(state, m) if m in held else 'a permit'})" for m in open_now)
    return {
        "version": p.version,
        "back": p.back,
        "step": p.step,
        "steps": p.steps,
        "done": len(p.done),
        "of": len(p.order),
        "halted": p.halted,
        "ended": p.ended,
        "waits": waits or ("" if p.ended else "a judgement"),
    }


@fleet.command("plan")
@CONFIG
@click.argument("name", required=False)
@FORM
@click.pass_obj
def show_plan(log: Any, config: Path, name: str | None, form: str) -> None:
    """The plans, or NAME alone: how far each is, and what it waits for."""
    view, agreed = _with(config, log, lambda client: client.state())
    plans = _status(view, agreed)["plans"]
    if name is not None and name not in plans:
        end(f"no plan {name}; there are {', '.join(plans) or 'none'}", code=1)
    told = plans if name is None else {name: plans[name]}
    if form == "json":
        click.echo(json.dumps(told))
        return
    rows = [
        [n, p["version"] or "drain", f"{p['step']}", f"{p['done']} of {p['of']}", p["ended"] or p["waits"]]
        for n, p in told.items()
    ]
    click.echo(
        aligned([["plan", "to", "step", "done", "ended, or waits for"], *rows]) if rows else "no plans"
    )


@fleet.command()
@CONFIG
@FORM
@click.pass_obj
def members(log: Any, config: Path, form: str) -> None:
    """Every member: zone, version, whether it is in."""
    view, agreed = _with(config, log, lambda client: client.state())
    state = agreed.state
    out = rules.out(state.members, state.permits.values())
    told = [
        {
            "member": name,
            "kind": m.kind,
            "zone": m.zone,
            "version": m.version,
            "incarnation": m.incarnation,
            "address": m.address,
            "stands": "in"
            if name not in out
            else "silent"
            if m.silent
            else f"out: {_out_waits(state, name)}",
        }
        for name, m in sorted(state.members.items())
    ]
    if form == "json":
        click.echo(json.dumps({"index": view.index, "members": told}))
        return
    heads = ("member", "kind", "zone", "version", "incarnation", "stands")
    click.echo(aligned([list(heads), *[[str(m[h]) for h in heads] for m in told]]))


@fleet.command()
@CONFIG
@click.option("--after", default=0, show_default=True, help="Only what follows this entry.")
@click.option("--most", default=100, show_default=True, type=click.IntRange(1, 10_000))
@FORM
@click.pass_obj
def history(log: Any, config: Path, after: int, most: int, form: str) -> None:
    """What was agreed on, oldest first. Times are the askers' clocks, hints alone; the order is the index."""

    def work(client: KeeperClient) -> tuple[str, History]:
        view, _ = client.state()
        return view.keeper, client.history(view.keeper, after, most)

    keeper, told = _with(config, log, work)
    if form == "json":
        lines = [asdict(line) | {"answer": line.answer and asdict(line.answer)} for line in told.lines]
        click.echo(json.dumps({"keeper": keeper, "first": told.first, "lines": lines}))
        return
    if told.first > after + 1:
        click.echo(f"entries before {told.first} are not kept by {keeper} any more", err=True)
    rows = []
    for line in told.lines:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(line.at)) if line.at else ""
        answer = line.answer
        said = "" if answer is None else "yes" if answer.done else f"no: {answer.why}"
        rows.append([str(line.index), when, line.what, line.told, said])
    click.echo(aligned([["index", "asked at", "what", "told", "answer"], *rows]) if rows else "nothing")


def _do(log: Any, config: Path, id: str | None, command: Command) -> None:
    """An `--id` that is given again after a time-out gets the answer of the first time."""
    known = id or secrets.token_hex(8)
    click.echo(f"id {known}", err=True)
    _told(_with(config, log, lambda client: client.command(known, command)))


ID = click.option("--id", "id", help="The id of an earlier try that got no answer.")


@fleet.command()
@CONFIG
@click.option("--plan", default="", help="This plan alone.")
@click.option("--why", required=True)
@ID
@click.pass_obj
def halt(log: Any, config: Path, plan: str, why: str, id: str | None) -> None:
    """Nothing that has not begun begins any more; in effect begin_within_ms after it is agreed."""
    _do(log, config, id, Halt(why, plan))


@fleet.command()
@CONFIG
@click.option("--plan", default="", help="This plan alone.")
@ID
@click.pass_obj
def resume(log: Any, config: Path, plan: str, id: str | None) -> None:
    """What was halted may go on."""
    _do(log, config, id, Resume(plan))


@fleet.command()
@CONFIG
@click.argument("permit")
@click.option("--operator", required=True, help="Who vouches that the place is not out.")
@ID
@click.pass_obj
def remove(log: Any, config: Path, permit: str, operator: str, id: str | None) -> None:
    """Give back a permit whose holder will never do so."""
    _do(log, config, id, Remove(permit, operator))


def _plan_name(kind: str, told: str | None) -> str:
    return told or f"{kind}-{secrets.token_hex(3)}"


PLAN = click.option("--plan", help="The plan's name, to be given again after a time-out; made up without it.")
ALONE = click.option(
    "--alone", is_flag=True, help="No quorum answers: have the agents on this machine do it without a permit."
)
WHO = click.option("--operator", default="", help="With --alone: who answers for it.")
WHY = click.option("--why", default="", help="With --alone: the reason, for the history.")


def _by_hand(config: Path, names: tuple[str, ...], version: str, operator: str, why: str) -> None:
    """Leaves an order with the agents of this machine; nobody counts who else is out."""
    known = {line.member for line in keepers_of(config).agents}
    wrong = [n for n in names if n not in known]
    if not operator or not why or not names or wrong:
        end(
            "--alone wants --operator, --why and members of this file's agents"
            + (f"; found {', '.join(wrong)}" if wrong else "")
        )
    click.echo("nobody has agreed to this: how many are out is not looked at", err=True)
    for name in names:
        path = order_path(config.parent / AGENTS, name)
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"version": version, "operator": operator, "why": why}))
        new.replace(path)
        click.echo(f"{name}: left for its agent, which tells the keepers once they answer")


@fleet.command()
@CONFIG
@click.argument("content", type=click.Path(path_type=Path))
@click.option("--steps", default="0.25,1", show_default=True, help="Shares of the members, rising to 1.")
@click.option("--back/--no-back", default=True, help="On a bad judgement go back to what most run now.")
@click.option("--check/--no-check", default=True, help="Whether CONTENT must be a front end's configuration.")
@PLAN
@click.pass_obj
def release(
    log: Any, config: Path, content: Path, steps: str, back: bool, check: bool, plan: str | None
) -> None:
    """Bring all front ends to the version in the file CONTENT, one first, then by steps."""
    try:
        data, shares = content.read_bytes(), tuple(float(share) for share in steps.split(","))
    except OSError as error:
        end(f"{content}: cannot be read: {error.strerror}")
    except ValueError:
        end(f"--steps: found {steps!r}; wanted shares that rise to 1, as 0.25,1")
    if check:
        config_of(content)
    name = _plan_name("release", plan)
    version = version_of(data)

    def work(client: KeeperClient) -> Answer:
        _, agreed = client.state()
        members = {n: m for n, m in agreed.state.members.items() if m.kind == FRONT_END}
        usual = Counter(m.version for m in members.values()).most_common(1)
        before = usual[0][0] if usual and back and usual[0][0] in agreed.state.versions else ""
        client.command(f"{name}-keep", Keep(version, data))
        return client.command(f"{name}-start", Start(name, tuple(members), version, shares, before))

    answer = _with(config, log, work)
    click.echo(f"plan {name}: version {version}")
    _told(answer)


@fleet.command()
@CONFIG
@click.argument("names", nargs=-1)
@click.option("--to", "version", required=True, help="A version that the keepers still hold.")
@PLAN
@ALONE
@WHO
@WHY
@click.pass_obj
def rollback(
    log: Any,
    config: Path,
    names: tuple[str, ...],
    version: str,
    plan: str | None,
    alone: bool,
    operator: str,
    why: str,
) -> None:
    """Take all front ends, or NAMES alone, to a version of before, in place of the plan under way."""
    if alone:
        return _by_hand(config, names, version, operator, why)
    name = _plan_name("rollback", plan)

    def work(client: KeeperClient) -> Answer:
        state = client.state()[1].state
        wanted = names or tuple(n for n, m in state.members.items() if m.kind == FRONT_END)
        under_way = next((p.id for p in state.plans.values() if not p.ended and p.id != name), "")
        start = Start(name, wanted, version, replaces=under_way, judged=False)
        return client.command(f"{name}-start", start)

    answer = _with(config, log, work)
    click.echo(f"plan {name}")
    _told(answer)


@fleet.command()
@CONFIG
@click.argument("members", nargs=-1, required=True)
@PLAN
@ALONE
@WHO
@WHY
@click.pass_obj
def cycle(
    log: Any, config: Path, members: tuple[str, ...], plan: str | None, alone: bool, operator: str, why: str
) -> None:
    """Take MEMBERS out and back in with what they run, within the budgets."""
    if alone:
        return _by_hand(config, members, "", operator, why)
    name = _plan_name("cycle", plan)
    click.echo(f"plan {name}")
    _told(_with(config, log, lambda client: client.command(f"{name}-start", Start(name, members))))


@fleet.command()
@CONFIG
@click.argument("members", nargs=-1, required=True)
@PLAN
@click.pass_obj
def drain(log: Any, config: Path, members: tuple[str, ...], plan: str | None) -> None:
    """Take MEMBERS out, within the budgets, and hold each out until `fleet return`."""
    name = _plan_name("drain", plan)
    click.echo(f"plan {name}")
    start = Start(name, members, stay=True)
    _told(_with(config, log, lambda client: client.command(f"{name}-start", start)))


@fleet.command("return")
@CONFIG
@click.argument("member")
@click.option("--operator", required=True)
@ID
@click.pass_obj
def bring_back(log: Any, config: Path, member: str, operator: str, id: str | None) -> None:
    """Let MEMBER, which a drain holds out, come back."""
    _do(log, config, id, Return(member, operator))


@fleet.command()
@CONFIG
@click.argument("member")
@ID
@click.pass_obj
def forget(log: Any, config: Path, member: str, id: str | None) -> None:
    """MEMBER is gone for good: no budget, plan or drain waits for it any more."""
    _do(log, config, id, Forget(member))


@fleet.command()
@CONFIG
@click.option("--agree", is_flag=True, help="Have those of CONFIG agreed on in place of what holds.")
@ID
@click.pass_obj
def budgets(log: Any, config: Path, agree: bool, id: str | None) -> None:
    """How many may be out at once, as agreed."""
    if agree:
        lines = keepers_of(config).budgets
        if not lines:
            end(f"{config}: budgets: found none; wanted those that are to hold")
        told = tuple(Budget(b.kind, b.zone, b.most, b.share) for b in lines)
        return _do(log, config, id, SetBudgets(told))
    for b in _with(config, log, lambda client: client.state())[1].state.budgets:
        most = f"{b.most}" if b.most is not None else f"{b.share:g} of them, one at least"
        where = {"": "in all", "*": "in each zone"}.get(b.zone, f"in {b.zone}")
        click.echo(f"{b.kind}s {where}: {most}")


@fleet.command()
@CONFIG
@click.argument("plan")
@click.argument("verdict", type=click.Choice(["good", "bad"]))
@click.option("--why", default="")
@ID
@click.pass_obj
def judge(log: Any, config: Path, plan: str, verdict: str, why: str, id: str | None) -> None:
    """Say how the present step of PLAN has gone; bad halts it and goes back where it says so."""
    state = _with(config, log, lambda client: client.state())[1].state
    if plan not in state.plans:
        end(f"no plan {plan}; there are {', '.join(state.plans) or 'none'}", code=1)
    _do(log, config, id, Judge(plan, state.plans[plan].step, verdict == "good", why))


@fleet.command("keepers")
@CONFIG
@click.option("--voter", "voters", multiple=True, help="By the name of its disk; all of them to be.")
@click.option("--learner", "learners", multiple=True, help="Is sent everything, and counts for nothing yet.")
@click.pass_obj
def keepers(log: Any, config: Path, voters: tuple[str, ...], learners: tuple[str, ...]) -> None:
    """Show the keepers, or change them by one voter: take one in to learn, then to vote."""
    if not voters:
        view, _ = _with(config, log, lambda client: client.state())
        for name in view.members.all:
            click.echo(f"{name}  {'votes' if name in view.members.voters else 'learns'}")
        return
    members = Members(voters, learners)
    _told(_with(config, log, lambda client: client.change(secrets.token_hex(8), members)))
