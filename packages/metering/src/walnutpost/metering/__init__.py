"""Metering of memory-time by tenant: recording, allocation, booking and budgets. No I/O, no clock."""

from walnutpost.metering.allocation import AllocationRule, allocate_slice, split_proportionally
from walnutpost.metering.amounts import (
    Account,
    Amount,
    Cause,
    Statement,
    exact_amount,
    sum_amounts,
    sum_statements,
)
from walnutpost.metering.budgets import Budget, BudgetAction, Budgets, BudgetState, BudgetStateChange
from walnutpost.metering.errors import InvalidReportError, InvalidSliceError, MeteringError
from walnutpost.metering.figures import (
    GROUP_FIELDS,
    SliceCharge,
    UsageFigure,
    collect_figures,
    group_figures,
    list_charges,
)
from walnutpost.metering.invoices import Invoice, InvoiceLine, build_invoice
from walnutpost.metering.ledger import Ledger
from walnutpost.metering.ledger_records import (
    LedgerLine,
    LineKind,
    UsageGap,
    UsageSample,
    WorkerIncarnation,
)
from walnutpost.metering.merge import merge_slices
from walnutpost.metering.persistence import LedgerBatch, LedgerExtract, LedgerState
from walnutpost.metering.policy import MeteringPolicy
from walnutpost.metering.recorder import UsageRecorder
from walnutpost.metering.records import UNATTRIBUTED, ReportCursor, SliceKey, UsageReport, UsageSlice
from walnutpost.metering.sampling import FunctionSize, UsageSampler
from walnutpost.metering.units import DAY_US, HOUR_US
from walnutpost.metering.verification import compare_with_reports, verify_bookings

__all__ = [
    "DAY_US",
    "GROUP_FIELDS",
    "HOUR_US",
    "UNATTRIBUTED",
    "Account",
    "AllocationRule",
    "Amount",
    "Budget",
    "BudgetAction",
    "BudgetState",
    "BudgetStateChange",
    "Budgets",
    "Cause",
    "FunctionSize",
    "InvalidReportError",
    "InvalidSliceError",
    "Invoice",
    "InvoiceLine",
    "Ledger",
    "LedgerBatch",
    "LedgerExtract",
    "LedgerLine",
    "LedgerState",
    "LineKind",
    "MeteringError",
    "MeteringPolicy",
    "ReportCursor",
    "SliceCharge",
    "SliceKey",
    "Statement",
    "UsageFigure",
    "UsageGap",
    "UsageRecorder",
    "UsageReport",
    "UsageSample",
    "UsageSampler",
    "UsageSlice",
    "WorkerIncarnation",
    "allocate_slice",
    "build_invoice",
    "collect_figures",
    "compare_with_reports",
    "exact_amount",
    "group_figures",
    "list_charges",
    "merge_slices",
    "split_proportionally",
    "sum_amounts",
    "sum_statements",
    "verify_bookings",
]
