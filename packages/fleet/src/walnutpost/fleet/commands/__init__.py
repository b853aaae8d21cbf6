"""Commands of the replicated log, their encoding, and the result of applying one.

A command is written as an array with the tag of its type first. Tags and the order of fields are stored in
logs and snapshots: a tag never changes, and a field is only added at the end, with a default.

A member is *unavailable* while a holder has a permit to take it out, or while it is unresponsive.
"""

from walnutpost.fleet.commands.encoding import (
    FORMAT,
    Command,
    CommandFrame,
    decode,
    decode_frame,
    encode,
)
from walnutpost.fleet.commands.members import (
    FRONT_END,
    WORKER,
    ForgetMember,
    MarkResponsive,
    MarkUnresponsive,
    RegisterMember,
)
from walnutpost.fleet.commands.permits import (
    AbandonPermit,
    Acknowledgement,
    BeginPermit,
    CompletePermit,
    ConfirmPermit,
    EndDrain,
    RequestPermit,
    RevokePermit,
)
from walnutpost.fleet.commands.plans import (
    HaltPlan,
    RecordStepVerdict,
    ResumePlan,
    StartPlan,
)
from walnutpost.fleet.commands.records import (
    ArrayRecord,
    CommandResult,
)
from walnutpost.fleet.commands.settings import (
    ApplyChangeSet,
    DisruptionBudget,
    RecordManualChange,
    SetBudgets,
    StoreVersion,
    UpdateFollowers,
)

__all__ = [
    "FORMAT",
    "FRONT_END",
    "WORKER",
    "AbandonPermit",
    "Acknowledgement",
    "ApplyChangeSet",
    "ArrayRecord",
    "BeginPermit",
    "Command",
    "CommandFrame",
    "CommandResult",
    "CompletePermit",
    "ConfirmPermit",
    "DisruptionBudget",
    "EndDrain",
    "ForgetMember",
    "HaltPlan",
    "MarkResponsive",
    "MarkUnresponsive",
    "RecordManualChange",
    "RecordStepVerdict",
    "RegisterMember",
    "RequestPermit",
    "ResumePlan",
    "RevokePermit",
    "SetBudgets",
    "StartPlan",
    "StoreVersion",
    "UpdateFollowers",
    "decode",
    "decode_frame",
    "encode",
]
