"""The figures of the rules for a configuration, as the audit wants them; kept beside the captures."""

from __future__ import annotations

from pathlib import Path

import msgspec

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.fakes import FakeFunctionConfig
from walnutpost.faultinjection.audit import Facts, Verdict, WorkerFacts, audit
from walnutpost.faultinjection.capture import read
from walnutpost.faultinjection.wire import read_process

FACTS, SUFFIX = "facts.json", ".capture"


def facts_of(config: Config) -> Facts:
    site, rules, fleet = config.site, config.site.rules, config.fleet
    classes = {name: site.classes[f.class_] for name, f in site.functions.items()}
    work = fleet.work if fleet else {}
    return Facts(
        {name: c.effect for name, c in classes.items()},
        {name: ms_to_us(c.deadline_ms) for name, c in classes.items()},
        {name: ms_to_us(work.get(name, FakeFunctionConfig()).work_ms) for name in site.functions},
        {w.name: WorkerFacts(w.cores * w.speed) for w in (fleet.workers if fleet else ())},
        ms_to_us(rules.answer_slack_ms),
        ms_to_us(rules.drain_grace_ms),
        ms_to_us(rules.warm_up_ms),
        rules.start_capacity,
        rules.overload_factor,
        ms_to_us(rules.overload_window_ms),
        ms_to_us(rules.load_order_window_ms),
        rules.free_load_orders,
        rules.load_orders_per_request,
    )


def write_facts(folder: Path, facts: Facts) -> None:
    (folder / FACTS).write_bytes(msgspec.json.format(msgspec.json.encode(facts)))


def audit_folder(folder: Path) -> Verdict:
    """Audits all captures of a folder by the facts beside them; ValueError or OSError where it can't."""
    facts = msgspec.json.decode((folder / FACTS).read_bytes(), type=Facts)
    files = sorted(folder.glob(f"*{SUFFIX}"))
    if not files:
        raise ValueError(f"{folder}: no file ending in {SUFFIX}")
    return audit([p for file in files for p in read_process(read(file))], facts)
