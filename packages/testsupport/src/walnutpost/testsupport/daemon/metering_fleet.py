"""A test fleet whose front end meters usage."""

from __future__ import annotations

from pathlib import Path

from walnutpost.daemon.metering import UsageMetering
from walnutpost.eventloop import VirtualClock
from walnutpost.metering import HOUR_US
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

MINUTE = 60 * SECOND
START_US = 300 * HOUR_US - 15 * SECOND  # 15 s before the end of an hour


def metered_fleet(path: Path, start_us: int = START_US, metering: dict[str, object] | None = None) -> Fleet:
    """Return a fleet with a clock that starts at `start_us`; `metering` overrides its metering settings."""
    section = {"fetch_ms": 1000, "write_ms": 2000, "close_after_ms": 60_000} | (metering or {})
    return Fleet(path, {"metering": section}, clock=VirtualClock(start_us))


def metering_of(fleet: Fleet) -> UsageMetering:
    """Return the metering of a fleet's front end."""
    assert fleet.front.metering is not None
    return fleet.front.metering


def send_calls(fleet: Fleet, seconds: int) -> None:
    """Call two functions for two tenants in bursts of one to three calls, four bursts a second."""
    for n in range(seconds * 4):
        tenant = ("tills", "trade", "trade")[n % 3]
        for function in ("price", "reserve", "price")[: 1 + n % 3]:
            fleet.loop.spawn(
                lambda function=function, tenant=tenant: fleet.invoke(function, x_amz_tenant_id=tenant)
            )
        fleet.loop.sleep(SECOND // 4)
