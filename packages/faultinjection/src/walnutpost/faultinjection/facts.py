"""The figures of the rules for a configuration, as the audit wants them; kept beside the captures."""

from __future__ import annotations

from pathlib import Path

import msgspec

from walnutpost.config import Config
from walnutpost.config.model import FunctionWork
from walnutpost.config.settings import us
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
        {name: us(c.deadline_ms) for name, c in classes.items()},
        {name: us(work.get(name, FunctionWork()).work_ms) for name in site.functions},
        {w.name: WorkerFacts(w.cores * w.speed) for w in (fleet.workers if fleet else ())},
        us(rules.answer_slack_ms),
        us(rules.drain_grace_ms),
        us(rules.cold_ms),
        rules.start_capacity,
        rules.overload_factor,
        us(rules.overload_for_ms),
        us(rules.load_window_ms),
        rules.free_loads,
        rules.load_share,
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
