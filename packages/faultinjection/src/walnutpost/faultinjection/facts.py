"""The figures of the rules for a configuration, as the audit wants them; a file beside the captures."""

from __future__ import annotations

from pathlib import Path

import msgspec

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.fakes import FakeFunctionConfig

FACTS_FILE = "facts.json"


class WorkerFacts(msgspec.Struct, frozen=True):
    """`strength` is cores times speed: the microseconds of work done in a microsecond when warm."""

    strength: float


class Facts(msgspec.Struct, frozen=True):
    """What the rules' figures are. By function: effect, deadline of a caller who names none, work."""

    effects: dict[str, str]
    deadlines_us: dict[str, int] = msgspec.field(name="deadlines")
    work_us: dict[str, int] = msgspec.field(name="work")
    workers: dict[str, WorkerFacts]
    answer_slack_us: int = msgspec.field(name="answer_slack")
    drain_grace_us: int = msgspec.field(name="drain_grace")
    warm_up_us: int = msgspec.field(name="cold_for")
    start_capacity: float
    overload_factor: float
    overload_window_us: int = msgspec.field(name="overload_for")
    load_order_window_us: int = msgspec.field(name="load_window")
    free_load_orders: float = msgspec.field(name="free_loads")
    load_orders_per_request: float = msgspec.field(name="load_share")


def facts_of(config: Config) -> Facts:
    """Return the facts of a configuration."""
    site = config.site
    rules = site.rules
    fleet = config.fleet
    classes = {name: site.classes[function.class_] for name, function in site.functions.items()}
    work = fleet.work if fleet else {}
    workers = fleet.workers if fleet else ()
    return Facts(
        effects={name: class_.effect for name, class_ in classes.items()},
        deadlines_us={name: ms_to_us(class_.deadline_ms) for name, class_ in classes.items()},
        work_us={name: ms_to_us(work.get(name, FakeFunctionConfig()).work_ms) for name in site.functions},
        workers={worker.name: WorkerFacts(worker.cores * worker.speed) for worker in workers},
        answer_slack_us=ms_to_us(rules.answer_slack_ms),
        drain_grace_us=ms_to_us(rules.drain_grace_ms),
        warm_up_us=ms_to_us(rules.warm_up_ms),
        start_capacity=rules.start_capacity,
        overload_factor=rules.overload_factor,
        overload_window_us=ms_to_us(rules.overload_window_ms),
        load_order_window_us=ms_to_us(rules.load_order_window_ms),
        free_load_orders=rules.free_load_orders,
        load_orders_per_request=rules.load_orders_per_request,
    )


def write_facts(folder: Path, facts: Facts) -> None:
    """Write the facts beside the captures of a folder; raises OSError."""
    (folder / FACTS_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(facts)))


def read_facts(folder: Path) -> Facts:
    """Read the facts of a folder; raises OSError or ValueError."""
    return msgspec.json.decode((folder / FACTS_FILE).read_bytes(), type=Facts)
