"""A fleet whose front end meters usage."""

from __future__ import annotations

from pathlib import Path

from walnutpost.daemon.metering import UsageMetering
from walnutpost.eventloop import VirtualClock
from walnutpost.metering import HOUR_US
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

MINUTE = 60 * SECOND
START = 300 * HOUR_US - 15 * SECOND  # an hour ends soon


def metered_fleet(path: Path, clock: int = START, metering: dict[str, object] | None = None) -> Fleet:
    """Return a fleet; `metering` has settings of its section that differ from the usual ones."""
    section = {"fetch_ms": 1000, "write_ms": 2000, "close_after_ms": 60_000} | (metering or {})
    return Fleet(path, {"metering": section}, clock=VirtualClock(clock))


def metering_of(f: Fleet) -> UsageMetering:
    """Return the metering of a fleet's front end."""
    assert f.front.metering is not None
    return f.front.metering


def traffic(f: Fleet, seconds: int) -> None:
    """Call two functions for two tenants, a few times each second."""
    for n in range(seconds * 4):
        tenant = ("tills", "trade", "trade")[n % 3]
        for function in ("price", "reserve", "price")[: 1 + n % 3]:
            f.loop.spawn(lambda a=function, t=tenant: f.invoke(a, x_amz_tenant_id=t))
        f.loop.sleep(SECOND // 4)
