"""Metering by the front end: compares its ledger with the fake workers' own records of their copies."""

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
from walnutpost.testsupport.daemon.metering_fleet import (
    MINUTE,
    START_US,
    metered_fleet,
    metering_of,
    send_calls,
)


def metered_usage(fleet: Fleet, metering: UsageMetering | None = None) -> dict[Account, Amount]:
    """Return the usage of all hours according to the ledger."""
    metering = metering or metering_of(fleet)
    metering.collect()
    hours = range(START_US // HOUR_US * HOUR_US - HOUR_US, fleet.loop.now() + HOUR_US, HOUR_US)
    return sum_statements(
        metering.ledger.statement(hour // HOUR_US * HOUR_US, fleet.loop.now()) for hour in hours
    )


def actual_usage(fleet: Fleet) -> dict[tuple[str, str], Fraction]:
    usage: dict[tuple[str, str], Fraction] = {}
    for worker in fleet.workers.values():
        for account, amount in true_usage(worker.model.copy_events, fleet.loop.now()).items():
            usage[account] = usage.get(account, Fraction(0)) + amount
    return usage


def assert_metered_equals_actual(fleet: Fleet) -> None:
    """Assert equal totals; a tenant's usage may differ by the rounding of shared microseconds."""
    metered, actual = metered_usage(fleet), actual_usage(fleet)
    assert {a.cause for a in metered} <= {""}
    assert sum(a.best for a in metered.values()) == sum(actual.values())
    for account, amount in metered.items():
        assert amount.lower_bound == amount.best == amount.upper_bound
        assert abs(amount.best - actual[account.tenant, account.function]) < 400 * 200, account
    assert len(metered) == len(actual)


def test_metered_usage_equals_the_usage_recorded_by_workers(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        send_calls(fleet, 20)
        assert_metered_equals_actual(fleet)
        fleet.loop.sleep(15 * SECOND)
        assert_metered_equals_actual(fleet)

    fleet.run(script)


def assert_bounds_cover_actual(fleet: Fleet, *ledgers: UsageMetering) -> None:
    """Assert that usage is within each ledger's bounds and no tenant is charged more than it used."""
    actual = actual_usage(fleet)
    for metering in ledgers or (metering_of(fleet),):
        metering.collect()
        metered = metered_usage(fleet, metering)
        total = sum_amounts(metered.values())
        assert total.lower_bound <= sum(actual.values()) <= total.upper_bound
        for account, amount in metered.items():
            if not account.cause and account.tenant != UNATTRIBUTED:
                assert amount.best <= actual[account.tenant, account.function] + 400 * 200


def test_killed_worker_leaves_a_gap_that_covers_its_unreported_usage(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path, metering={"silent_ms": 5000})

    def script() -> None:
        send_calls(fleet, 5)
        for server in fleet.workers.values():
            server.restart()
        fleet.loop.sleep(700_000)
        send_calls(fleet, 15)
        fleet.loop.sleep(HOUR_US // 10)
        assert_bounds_cover_actual(fleet)
        gaps = {a.cause: amount for a, amount in metered_usage(fleet).items() if a.cause}
        assert set(gaps) == {"silent"}
        assert 0 < gaps["silent"].upper_bound <= 3 * 8192 * 2 * SECOND

    fleet.run(script)


def kill_and_restart(fleet: Fleet) -> None:
    """Kill the front end and start another in its place."""
    fleet.front.server.stop_accepting()
    fleet.front.tasks.cancel_all()
    fleet.loop.sleep(1)
    fleet.front.close()
    fleet.front = fleet.start_front()


def test_front_end_continues_its_counts_after_a_kill(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        for _ in range(3):
            send_calls(fleet, 6)
            fleet.loop.sleep(1_500_000)
            kill_and_restart(fleet)
        assert_metered_equals_actual(fleet)

    fleet.run(script)


def test_ledger_write_is_not_repeated_after_its_caller_is_cancelled(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path, metering={"write_ms": 600_000})

    def script() -> None:
        send_calls(fleet, 20)
        fleet.loop.sleep(2 * MINUTE)
        store = metering_of(fleet).writer.store
        write = store.write

        def cancel_caller_and_write(batch: LedgerBatch, run: LedgerRun) -> None:
            caller.cancel()
            write(batch, run)

        store.write = cancel_caller_and_write  # type: ignore[method-assign]
        caller = fleet.loop.spawn(metering_of(fleet).writer.write)
        fleet.wait_until(lambda: caller.is_done)
        assert metering_of(fleet).writer.write()
        stored_usage = sum_statements(metering_of(fleet).writer.store.load()[0].booked.values())
        ledger_usage = metering_of(fleet).ledger.statement(START_US // HOUR_US * HOUR_US, fleet.loop.now())
        assert stored_usage == {a: amount for a, amount in ledger_usage.items() if amount}
        assert stored_usage

    fleet.run(script)


def test_two_front_ends_that_share_the_calls_count_each_copy_once(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        first, other = fleet.front, fleet.start_front(path=tmp_path / "other")
        for n in range(80):
            fleet.front = (first, other)[n % 2]
            fleet.loop.spawn(lambda n=n: fleet.invoke("price", x_amz_tenant_id=("tills", "trade")[n % 3 % 2]))
            fleet.loop.sleep(SECOND // 5)
        for fleet.front in (first, other):
            assert_metered_equals_actual(fleet)
        fleet.front = first
        other.close()

    fleet.run(script)


def test_usage_without_worker_reports_is_estimated_within_bounds_across_a_kill(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        for server in fleet.workers.values():
            server.command({"books": False})
        send_calls(fleet, 7)
        assert_bounds_cover_actual(fleet)
        kill_and_restart(fleet)
        send_calls(fleet, 7)
        assert_bounds_cover_actual(fleet)
        causes = {a.cause: amount for a, amount in metered_usage(fleet).items()}
        assert set(causes) == {"estimated", "front end down"}
        assert causes["front end down"].upper_bound > 0

    fleet.run(script)


def test_full_disk_stops_no_calls_and_loses_no_usage(tmp_path: Path) -> None:
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        send_calls(fleet, 3)
        db = metering_of(fleet).writer.store._db
        db.execute("pragma wal_checkpoint(truncate)")
        pages = db.execute("pragma page_count").fetchone()[0]
        db.execute(f"pragma max_page_count={pages}")
        for n in range(200):  # more names than fit into the free space of the file
            metering_of(fleet).ledger.add_gap(UsageGap(0, f"source {n}" * 40, "front end down", 0))
        assert not metering_of(fleet).writer.write()
        send_calls(fleet, 4)
        assert fleet.invoke("price").status == 200
        failures = [fields for event, fields in fleet.log.events if event == "ledger_write_failed"]
        assert len(failures) == 1
        assert "full" in failures[0]["error"]
        db.execute("pragma max_page_count=1000000")
        assert metering_of(fleet).writer.write()
        assert_metered_equals_actual(fleet)
        kill_and_restart(fleet)
        assert_metered_equals_actual(fleet)

    fleet.run(script)


INVALID_REPORTS: dict[str, tuple[Any, str]] = {
    "not a report": (lambda _: {"worker": 1}, "Expected"),
    "another worker's report": (
        lambda r: msgspec.structs.replace(r, worker="worker-9"),
        "found a report of 'worker-9'",
    ),
    "start after the report": (
        lambda r: msgspec.structs.replace(r, started_us=r.reported_us + HOUR_US),
        "found start",
    ),
}


@pytest.mark.parametrize("name", INVALID_REPORTS)
def test_invalid_report_is_logged_once_and_calls_continue(name: str, tmp_path: Path) -> None:
    alter_report, error_part = INVALID_REPORTS[name]
    fleet = metered_fleet(tmp_path)

    def script() -> None:
        for server in fleet.workers.values():
            server.alter_usage_report = alter_report
        assert fleet.invoke("price").status == 200
        fleet.loop.sleep(5 * SECOND)
        logged = [
            fields["inconsistencies"]
            for event, fields in fleet.log.events
            if event == "usage_report_inconsistent"
        ]
        assert len(logged) == 3
        assert all(error_part in errors[0] for errors in logged)

    fleet.run(script)


def fleet_with_budget(path: Path, action: str) -> Fleet:
    budget = {"mb_s": 1, "period": "hour", "action": action}
    return metered_fleet(path, 300 * HOUR_US - MINUTE, metering={"budgets": {"trade": budget}})


def test_exceeded_budget_rejects_new_loads_but_not_open_calls_or_other_tenants(tmp_path: Path) -> None:
    fleet = fleet_with_budget(tmp_path, "refuse new loads")

    def script() -> None:
        assert fleet.invoke("price", x_amz_tenant_id="trade").status == 200
        started = fleet.loop.spawn(
            lambda: fleet.invoke("reserve", x_amz_tenant_id="trade", amz_sdk_invocation_id="8")
        )
        fleet.loop.sleep(100_000)
        metering_of(fleet).collect()
        assert [fields["state"] for event, fields in fleet.log.events if event == "budget_state_changed"] == [
            "PAST"
        ]
        # Open calls, their retries and calls of loaded copies succeed; calls that need a load are rejected.
        retried = fleet.invoke(
            "reserve", x_amz_tenant_id="trade", amz_sdk_invocation_id="8", amz_sdk_request="attempt=2"
        )
        assert retried.status == started.join().status == 200
        assert fleet.invoke("price", b"2", x_amz_tenant_id="trade").status == 200
        fleet.loop.sleep(15 * SECOND)
        before = fleet.loop.now()
        rejected = fleet.invoke("price", b"3", x_amz_tenant_id="trade")
        assert rejected.status == 429
        assert fleet.loop.now() - before < SECOND
        assert b"budget" in rejected.body
        assert 0 < int(rejected.headers["retry-after"]) <= 45
        deferred = fleet.invoke("price", b"4", x_amz_tenant_id="trade", x_amz_invocation_type="Event")
        assert deferred.status == 429
        assert fleet.invoke("price", b"3", x_amz_tenant_id="tills").status == 200
        fleet.loop.sleep(MINUTE)
        metering_of(fleet).collect()
        assert fleet.invoke("price", b"3", x_amz_tenant_id="trade").status == 200

    fleet.run(script)


def test_exceeded_budget_stops_scale_up_unless_its_action_is_note(tmp_path: Path) -> None:
    for action, is_scaled in (("no ahead loads", False), ("note", True)):
        path = tmp_path / action.replace(" ", "-")
        path.mkdir()
        fleet = fleet_with_budget(path, action)

        def script(fleet: Fleet = fleet, is_scaled: bool = is_scaled) -> None:
            fleet.invoke("price", x_amz_tenant_id="trade")
            metering_of(fleet).collect()
            orders, order_load = [], fleet.front.worker_client.order_load

            def record_load_order(effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
                orders.append(effect.copies)
                order_load(effect, on_ended)

            fleet.front.worker_client.order_load = record_load_order  # type: ignore[method-assign]
            calls = [
                fleet.loop.spawn(lambda: fleet.invoke("price", x_amz_tenant_id="trade")) for _ in range(12)
            ]
            assert [c.join().status for c in calls] == [200] * 12
            assert (max(orders, default=0) > 0) is is_scaled

        fleet.run(script)
