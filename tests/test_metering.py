"""Metering through the front end: what is booked against the stand-ins' own records of their copies."""

from __future__ import annotations

from fractions import Fraction
from pathlib import Path
from typing import Any

from tests.fleet import SECOND, Fleet
from walnutpost.daemon.meters import Meters
from walnutpost.loop import VirtualClock
from walnutpost.metering import HOUR, Account, Amount, added
from walnutpost.trials.usage import true_usage

MINUTE = 60 * SECOND
START = 300 * HOUR - 15 * SECOND  # an hour ends soon


def fleet(path: Path, **more: Any) -> Fleet:
    metering = {"fetch_ms": 1000, "write_ms": 2000, "close_after_ms": 60_000, **more.pop("metering", {})}
    return Fleet(path, {"metering": metering, **more}, clock=VirtualClock(START))


def meters(f: Fleet) -> Meters:
    assert f.front.meters is not None
    return f.front.meters


def metered(f: Fleet) -> dict[Account, Amount]:
    """All that the ledger knows, of every hour from the first."""
    m = meters(f)
    m.look()
    hours = range(START // HOUR * HOUR - HOUR, f.loop.now() + HOUR, HOUR)
    return added(m.ledger.statement(hour // HOUR * HOUR, f.loop.now()) for hour in hours)


def truth(f: Fleet) -> dict[tuple[str, str], Fraction]:
    out: dict[tuple[str, str], Fraction] = {}
    for worker in f.workers.values():
        for account, amount in true_usage(worker.model.lived, f.loop.now()).items():
            out[account] = out.get(account, Fraction(0)) + amount
    return out


def agree(f: Fleet) -> None:
    """Exactly in all; for each tenant but for the rounding of shared microseconds."""
    known, true = metered(f), truth(f)
    assert {a.cause for a in known} <= {""}
    assert sum(a.best for a in known.values()) == sum(true.values())
    for account, amount in known.items():
        assert amount.least == amount.best == amount.most
        assert abs(amount.best - true[account.tenant, account.function]) < 400 * 200, account
    assert len(known) == len(true)


def traffic(f: Fleet, seconds: int) -> None:
    for n in range(seconds * 4):
        tenant = ("tills", "trade", "trade")[n % 3]
        for function in ("price", "reserve", "price")[: 1 + n % 3]:
            f.loop.spawn(lambda a=function, t=tenant: f.invoke(a, x_amz_tenant_id=t))
        f.loop.sleep(SECOND // 4)


def test_what_is_metered_is_what_the_workers_recorded(tmp_path: Path) -> None:
    f = fleet(tmp_path)

    def script() -> None:
        traffic(f, 20)
        agree(f)
        f.loop.sleep(15 * SECOND)
        agree(f)

    f.run(script)
