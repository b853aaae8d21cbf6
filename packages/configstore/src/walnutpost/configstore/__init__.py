"""The replicated configuration store: change sets, watches, and the progress of those who watch. No I/O.

The parts: `messages` (the wire format), `store` (entries at a revision and a log of change sets), `watch`
(responses, on the serving side), `watch_state` (requests and the handling of responses, on the watching
side), `member_registry` (a relay's report of its members' progress), `fleet_progress` (what the leader knows
of all members), `relay_selection` (which server a member asks).
"""

from walnutpost.configstore.digest_check import VERIFY_INTERVAL_US
from walnutpost.configstore.digests import DIGEST_BUCKETS, bucket_of, entry_digest
from walnutpost.configstore.errors import (
    ConfigStoreError,
    DigestMismatchError,
    InvalidChangeError,
    InvalidMessageError,
    InvalidRevisionError,
    InvalidSnapshotError,
    NoRelaysError,
    OutOfOrderError,
)
from walnutpost.configstore.messages import (
    AGE_HEADER,
    FORMAT,
    PROGRESS_PATH,
    STATUS_PATH,
    WATCH_PATH,
    ChangeSet,
    Entry,
    MemberProgress,
    MemberStatus,
    Mutation,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationLatency,
    PropagationStatus,
    Record,
    WatchRequest,
    WatchResponse,
    decode,
    encode,
)
from walnutpost.configstore.outcome import ApplyOutcome, SyncEvent, SyncEventKind
from walnutpost.configstore.store import MAX_LOG_BYTES, MAX_LOG_CHANGE_SETS, ConfigStore
from walnutpost.configstore.validation import (
    MAX_CHANGE_SET_BYTES,
    MAX_MUTATIONS,
    MAX_VALUE_BYTES,
    validate_mutations,
)
from walnutpost.configstore.watch import (
    MAX_RESPONSE_BYTES,
    PendingEvents,
    build_response,
    pending_events,
    respond,
)
from walnutpost.configstore.watch_state import STALE_AFTER_US, WatchState

__all__ = [
    "AGE_HEADER",
    "DIGEST_BUCKETS",
    "FORMAT",
    "MAX_CHANGE_SET_BYTES",
    "MAX_LOG_BYTES",
    "MAX_LOG_CHANGE_SETS",
    "MAX_MUTATIONS",
    "MAX_RESPONSE_BYTES",
    "MAX_VALUE_BYTES",
    "PROGRESS_PATH",
    "STALE_AFTER_US",
    "STATUS_PATH",
    "VERIFY_INTERVAL_US",
    "WATCH_PATH",
    "ApplyOutcome",
    "ChangeSet",
    "ConfigStore",
    "ConfigStoreError",
    "DigestMismatchError",
    "Entry",
    "InvalidChangeError",
    "InvalidMessageError",
    "InvalidRevisionError",
    "InvalidSnapshotError",
    "MemberProgress",
    "MemberStatus",
    "Mutation",
    "NoRelaysError",
    "OutOfOrderError",
    "PendingEvents",
    "ProgressSummary",
    "ProgressSummaryResponse",
    "PropagationLatency",
    "PropagationStatus",
    "Record",
    "SyncEvent",
    "SyncEventKind",
    "WatchRequest",
    "WatchResponse",
    "WatchState",
    "bucket_of",
    "build_response",
    "decode",
    "encode",
    "entry_digest",
    "pending_events",
    "respond",
    "validate_mutations",
]
