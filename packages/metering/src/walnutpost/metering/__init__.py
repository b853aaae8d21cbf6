"""Memory-time by tenant: counting, charging, booking. Decides; no I/O, no clock."""

from walnutpost.metering.book import Book
from walnutpost.metering.budgets import Action, Budget, Budgets, Change, Standing
from walnutpost.metering.charge import Rule, charge, split
from walnutpost.metering.ledger import (
    Account,
    Amount,
    Batch,
    Gap,
    Ledger,
    Life,
    Line,
    Policy,
    Saved,
    Seen,
    Statement,
    added,
    exactly,
)
from walnutpost.metering.records import HOUR, UNATTRIBUTED, Key, Report, Slice, flaw, join, wrong
from walnutpost.metering.sight import Sight, Size

__all__ = [
    "HOUR",
    "UNATTRIBUTED",
    "Account",
    "Action",
    "Amount",
    "Batch",
    "Book",
    "Budget",
    "Budgets",
    "Change",
    "Gap",
    "Key",
    "Ledger",
    "Life",
    "Line",
    "Policy",
    "Report",
    "Rule",
    "Saved",
    "Seen",
    "Sight",
    "Size",
    "Slice",
    "Standing",
    "Statement",
    "added",
    "charge",
    "exactly",
    "flaw",
    "join",
    "split",
    "wrong",
]
