"""Tests of figures, verification and invoices of ledgers."""

from __future__ import annotations

from decimal import Decimal
from fractions import Fraction
from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.metering import (
    HOUR_US,
    LedgerExtract,
    build_invoice,
    collect_figures,
    compare_with_reports,
    exact_amount,
    group_figures,
    list_charges,
    verify_bookings,
)
from walnutpost.testsupport.metering.fixtures import (
    FIRST_HOUR_US,
    MINUTE_US,
    POLICY,
    START_US,
    RandomWorker,
    make_ledger,
    make_report,
    make_slice,
    persisted_state,
    write_next_batch,
)


def test_verification_finds_a_changed_line_and_a_missing_slice() -> None:
    worker = RandomWorker(Random(2))
    report = worker.random_reports(60)[-1]
    after_closing_us = worker.now_us + 2 * HOUR_US
    ledger = make_ledger()
    ledger.add_report(report, "w", after_closing_us)
    lines = write_next_batch(ledger, after_closing_us)
    extract = LedgerExtract(persisted_state(ledger), lines)
    assert verify_bookings(extract, POLICY, after_closing_us) == []
    assert compare_with_reports(extract, [report], after_closing_us) == []
    changed = msgspec.structs.replace(lines[0], amount=lines[0].amount + exact_amount(1))
    assert (
        "booked"
        in verify_bookings(LedgerExtract(extract.state, [changed, *lines[1:]]), POLICY, after_closing_us)[0]
    )
    missing = next(usage for usage in extract.state.slices if usage.is_final)
    extract.state.slices.remove(missing)
    assert "none in the ledger" in compare_with_reports(extract, [report], after_closing_us)[0]
    charges = list_charges([extract], POLICY, after_closing_us, lambda tenant, _: tenant == "trade")
    assert {charge.tenant for charge in charges} == {"trade"}
    assert charges == sorted(charges, key=lambda charge: -charge.mb_us)


def test_differences_are_printed_in_the_form_of_earlier_versions() -> None:
    usage = make_slice(is_final=True)
    report = make_report(usage)
    after_closing_us = START_US + 2 * HOUR_US
    ledger = make_ledger()
    ledger.add_report(report, "w", after_closing_us)
    lines = write_next_batch(ledger, after_closing_us)
    extract = LedgerExtract(persisted_state(ledger), lines[:-1])
    account = lines[-1].account
    names = f"tenant={account.tenant!r}, function={account.function!r}, cause={str(account.cause)!r}"
    amount = lines[-1].amount
    figures = f"best={amount.best}, least={amount.lower_bound}, most={amount.upper_bound}"
    assert verify_bookings(extract, POLICY, after_closing_us) == [
        f"hour {FIRST_HOUR_US}, Account({names}): booked Amount(best=0, least=0, most=0),"
        f" wanted Amount({figures})"
    ]
    extract.state.slices.clear()
    assert compare_with_reports(extract, [report], after_closing_us) == [
        f"copy ('w', {START_US}, 1, {FIRST_HOUR_US}): 500 MB-us in the export, none in the ledger"
    ]


@given(st.dictionaries(st.text(max_size=4), st.integers(0, 10**17), max_size=9), st.integers(0, 6))
def test_lines_of_an_invoice_add_up_to_its_total(amounts: dict[str, int], digits: int) -> None:
    invoice = build_invoice(
        "a", {function: exact_amount(mb_us) for function, mb_us in amounts.items()}, Decimal("0.0213"), digits
    )
    assert sum((line.price for line in invoice.lines), Decimal(0)) == invoice.total
    exact_total = Fraction(sum(amounts.values()), 1024 * HOUR_US) * Fraction("0.0213")
    assert abs(Fraction(invoice.total) - exact_total) <= Fraction(1, 2 * 10**digits)
    assert invoice.lower_bound == invoice.total == invoice.upper_bound


def test_a_renamed_tenant_is_grouped_under_its_new_name() -> None:
    ledger = make_ledger()
    ledger.add_report(
        make_report(make_slice(loading_us=0, running_us={"old": 7, "new": 5, "": 1})),
        "w",
        START_US + MINUTE_US,
    )
    extracts = [LedgerExtract(persisted_state(ledger))]
    figures = collect_figures(extracts, POLICY, START_US + MINUTE_US, START_US - HOUR_US, START_US + HOUR_US)
    assert group_figures(figures, ["tenant"], {"old": "new"}, "tills") == {
        ("new",): exact_amount(1200),
        ("tills",): exact_amount(100),
    }
