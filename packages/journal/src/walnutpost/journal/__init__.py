"""Records of calls in more than one site: numbered by their origin, kept by others, joined. No I/O."""

from walnutpost.journal.copying import (
    Behind,
    Copying,
    Due,
    Effect,
    Kept,
    Lost,
    Placed,
    Post,
    Terms,
    Told,
    Wanted,
    Written,
)
from walnutpost.journal.holders import Place, chosen
from walnutpost.journal.joined import Call, Joined, Reached
from walnutpost.journal.keeping import BadBatch, Batch, Have, Take, batch, taken
from walnutpost.journal.records import (
    Accepted,
    BadLine,
    Ended,
    Intended,
    Line,
    Purged,
    Withdrawn,
    call_of,
    line,
)
from walnutpost.journal.spans import Spans

__all__ = [
    "Accepted",
    "BadBatch",
    "BadLine",
    "Batch",
    "Behind",
    "Call",
    "Copying",
    "Due",
    "Effect",
    "Ended",
    "Have",
    "Intended",
    "Joined",
    "Kept",
    "Line",
    "Lost",
    "Place",
    "Placed",
    "Post",
    "Purged",
    "Reached",
    "Spans",
    "Take",
    "Terms",
    "Told",
    "Wanted",
    "Withdrawn",
    "Written",
    "batch",
    "call_of",
    "chosen",
    "line",
    "taken",
]
