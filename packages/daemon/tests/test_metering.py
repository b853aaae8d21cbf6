"""Metering through the front end: the ledger compared with the fake workers' own records of their copies."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from pathlib import Path
from typing import Any

import msgspec
import pytest

from walnutpost.daemon.metering import UsageMetering
from walnutpost.faultinjection.usage import true_usage
from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.metering import (
    HOUR_US,
    UNATTRIBUTED,
    Account,
    Amount,
    LedgerBatch,
    UsageGap,
    sum_amounts,
    sum_statements,
)
from walnutpost.store.usage import LedgerRun
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.daemon.metering_fleet import MINUTE, START, metered_fleet, metering_of, traffic


def metered_usage(f: Fleet, metering: UsageMetering | None = None) -> dict[Account, Amount]:
    """Return the ledger's usage of all hours."""
    metering = metering or metering_of(f)
    metering.collect()
    hours = range(START // HOUR_US * HOUR_US - HOUR_US, f.loop.now() + HOUR_US, HOUR_US)
    return sum_statements(
        metering.ledger.statement(hour // HOUR_US * HOUR_US, f.loop.now()) for hour in hours
    )


def actual_usage(f: Fleet) -> dict[tuple[str, str], Fraction]:
    usage: dict[tuple[str, str], Fraction] = {}
    for worker in f.workers.values():
        for account, amount in true_usage(worker.model.copy_events, f.loop.now()).items():
            usage[account] = usage.get(account, Fraction(0)) + amount
    return usage


def assert_metered_equals_actual(f: Fleet) -> None:
    """The totals are equal; a tenant's usage differs only by the rounding of shared microseconds."""
    metered, actual = metered_usage(f), actual_usage(f)
    assert {a.cause for a in metered} <= {""}
    assert sum(a.best for a in metered.values()) == sum(actual.values())
    for account, amount in metered.items():
        assert amount.lower_bound == amount.best == amount.upper_bound
        assert abs(amount.best - actual[account.tenant, account.function]) < 400 * 200, account
    assert len(metered) == len(actual)


def test_metered_usage_equals_what_the_workers_recorded(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path)

    def script() -> None:
        traffic(f, 20)
        assert_metered_equals_actual(f)
        f.loop.sleep(15 * SECOND)
        assert_metered_equals_actual(f)

    f.run(script)


def assert_bounds_cover_actual(f: Fleet, *ledgers: UsageMetering) -> None:
    """The actual usage is within each ledger's bounds, and no tenant is charged more than its usage."""
    actual = actual_usage(f)
    for metering in ledgers or (metering_of(f),):
        metering.collect()
        metered = metered_usage(f, metering)
        total = sum_amounts(metered.values())
        assert total.lower_bound <= sum(actual.values()) <= total.upper_bound
        for account, amount in metered.items():
            if not account.cause and account.tenant != UNATTRIBUTED:
                assert amount.best <= actual[account.tenant, account.function] + 400 * 200


def test_worker_when_killed_leaves_a_gap_that_covers_its_unreported_usage(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path, metering={"silent_ms": 5000})

    def script() -> None:
        traffic(f, 5)
        for server in f.workers.values():
            server.restart()
        f.loop.sleep(700_000)
        traffic(f, 15)
        f.loop.sleep(HOUR_US // 10)
        assert_bounds_cover_actual(f)
        gaps = {a.cause: amount for a, amount in metered_usage(f).items() if a.cause}
        assert set(gaps) == {"silent"}
        assert 0 < gaps["silent"].upper_bound <= 3 * 8192 * 2 * SECOND

    f.run(script)


def kill_and_restart(f: Fleet) -> None:
    """Kill the front end and start another in its place."""
    f.front.server.stop_accepting()
    f.front.tasks.cancel_all()
    f.loop.sleep(1)
    f.front.close()
    f.front = f.start_front()


def test_front_end_when_killed_continues_its_counts(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path)

    def script() -> None:
        for _ in range(3):
            traffic(f, 6)
            f.loop.sleep(1_500_000)
            kill_and_restart(f)
        assert_metered_equals_actual(f)

    f.run(script)


def test_ledger_write_when_its_caller_is_cancelled_is_not_repeated(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path, metering={"write_ms": 600_000})

    def script() -> None:
        traffic(f, 20)
        f.loop.sleep(2 * MINUTE)
        store = metering_of(f).writer.store
        write = store.write

        def cancelled_meanwhile(batch: LedgerBatch, run: LedgerRun) -> None:
            waiter.cancel()
            write(batch, run)

        store.write = cancelled_meanwhile  # type: ignore[method-assign]
        waiter = f.loop.spawn(metering_of(f).writer.write)
        f.until(lambda: waiter.is_done)
        assert metering_of(f).writer.write()
        booked = sum_statements(metering_of(f).writer.store.load()[0].booked.values())
        stated = metering_of(f).ledger.statement(START // HOUR_US * HOUR_US, f.loop.now())
        assert booked == {a: amount for a, amount in stated.items() if amount}
        assert booked

    f.run(script)


def test_two_front_ends_with_half_of_the_calls_count_each_copy_once(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path)

    def script() -> None:
        first, other = f.front, f.start_front(path=tmp_path / "other")
        for n in range(80):
            f.front = (first, other)[n % 2]
            f.loop.spawn(lambda n=n: f.invoke("price", x_amz_tenant_id=("tills", "trade")[n % 3 % 2]))
            f.loop.sleep(SECOND // 5)
        for f.front in (first, other):
            assert_metered_equals_actual(f)
        f.front = first
        other.close()

    f.run(script)


def test_workers_without_reports_are_estimated_within_bounds_also_over_a_kill(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path)

    def script() -> None:
        for server in f.workers.values():
            server.command({"books": False})
        traffic(f, 7)
        assert_bounds_cover_actual(f)
        kill_and_restart(f)
        traffic(f, 7)
        assert_bounds_cover_actual(f)
        causes = {a.cause: amount for a, amount in metered_usage(f).items()}
        assert set(causes) == {"estimated", "front end down"}
        assert causes["front end down"].upper_bound > 0

    f.run(script)


def test_ledger_when_the_disk_is_full_stops_no_call_and_loses_nothing(tmp_path: Path) -> None:
    f = metered_fleet(tmp_path)

    def script() -> None:
        traffic(f, 3)
        db = metering_of(f).writer.store._db
        db.execute("pragma wal_checkpoint(truncate)")
        pages = db.execute("pragma page_count").fetchone()[0]
        db.execute(f"pragma max_page_count={pages}")
        for n in range(200):  # more names than the last pages of the file have space for
            metering_of(f).ledger.add_gap(UsageGap(0, f"source {n}" * 40, "front end down", 0))
        assert not metering_of(f).writer.write()
        traffic(f, 4)
        assert f.invoke("price").status == 200
        failures = [fields for event, fields in f.log.lines if event == "ledger_write_failed"]
        assert len(failures) == 1
        assert "full" in failures[0]["error"]
        db.execute("pragma max_page_count=1000000")
        assert metering_of(f).writer.write()
        assert_metered_equals_actual(f)
        kill_and_restart(f)
        assert_metered_equals_actual(f)

    f.run(script)


INVALID_REPORTS: dict[str, tuple[Any, str]] = {
    "no report": (lambda _: {"worker": 1}, "Expected"),
    "another's": (lambda r: msgspec.structs.replace(r, worker="worker-9"), "found a report of 'worker-9'"),
    "a start ahead": (
        lambda r: msgspec.structs.replace(r, started_us=r.reported_us + HOUR_US),
        "found start",
    ),
}


@pytest.mark.parametrize("name", INVALID_REPORTS)
def test_report_when_invalid_is_logged_once_and_calls_go_on(name: str, tmp_path: Path) -> None:
    alter_report, error_part = INVALID_REPORTS[name]
    f = metered_fleet(tmp_path)

    def script() -> None:
        for server in f.workers.values():
            server.alter_usage_report = alter_report
        assert f.invoke("price").status == 200
        f.loop.sleep(5 * SECOND)
        logged = [
            fields["inconsistencies"] for event, fields in f.log.lines if event == "usage_report_inconsistent"
        ]
        assert len(logged) == 3
        assert all(error_part in errors[0] for errors in logged)

    f.run(script)


def fleet_with_budget(path: Path, action: str) -> Fleet:
    budget = {"mb_s": 1, "period": "hour", "action": action}
    return metered_fleet(path, 300 * HOUR_US - MINUTE, metering={"budgets": {"trade": budget}})


def test_tenant_past_its_budget_gets_no_new_loads_and_others_and_open_calls_do(tmp_path: Path) -> None:
    f = fleet_with_budget(tmp_path, "refuse new loads")

    def script() -> None:
        assert f.invoke("price", x_amz_tenant_id="trade").status == 200
        started = f.loop.spawn(
            lambda: f.invoke("reserve", x_amz_tenant_id="trade", amz_sdk_invocation_id="8")
        )
        f.loop.sleep(100_000)
        metering_of(f).collect()
        assert [fields["state"] for event, fields in f.log.lines if event == "budget_state_changed"] == [
            "PAST"
        ]
        # Open calls and their retries go on, loaded copies serve; a call that needs a load is rejected.
        retried = f.invoke(
            "reserve", x_amz_tenant_id="trade", amz_sdk_invocation_id="8", amz_sdk_request="attempt=2"
        )
        assert retried.status == started.join().status == 200
        assert f.invoke("price", b"2", x_amz_tenant_id="trade").status == 200
        f.loop.sleep(15 * SECOND)
        before = f.loop.now()
        rejected = f.invoke("price", b"3", x_amz_tenant_id="trade")
        assert rejected.status == 429
        assert f.loop.now() - before < SECOND
        assert b"budget" in rejected.body
        assert 0 < int(rejected.headers["retry-after"]) <= 45
        deferred = f.invoke("price", b"4", x_amz_tenant_id="trade", x_amz_invocation_type="Event")
        assert deferred.status == 429
        assert f.invoke("price", b"3", x_amz_tenant_id="tills").status == 200
        f.loop.sleep(MINUTE)
        metering_of(f).collect()
        assert f.invoke("price", b"3", x_amz_tenant_id="trade").status == 200

    f.run(script)


def test_tenant_past_its_budget_alone_gets_no_further_copies(tmp_path: Path) -> None:
    for action, is_scaled in (("no ahead loads", False), ("note", True)):
        path = tmp_path / action.replace(" ", "-")
        path.mkdir()
        f = fleet_with_budget(path, action)

        def script(f: Fleet = f, is_scaled: bool = is_scaled) -> None:
            f.invoke("price", x_amz_tenant_id="trade")
            metering_of(f).collect()
            orders, send = [], f.front.worker_client.order_load

            def order(effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
                orders.append(effect.copies)
                send(effect, done)

            f.front.worker_client.order_load = order  # type: ignore[method-assign]
            calls = [f.loop.spawn(lambda: f.invoke("price", x_amz_tenant_id="trade")) for _ in range(12)]
            assert [c.join().status for c in calls] == [200] * 12
            assert (max(orders, default=0) > 0) is is_scaled

        f.run(script)
