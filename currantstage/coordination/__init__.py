"""Every decision of the system, without input or output."""

from __future__ import annotations

from currantstage.coordination._configuration import (
    Configuration,
    Membership,
)
from currantstage.coordination._dispatch import (
    RETRY_AFTER_S,
    Assignment,
    Dispatcher,
    RequestEnd,
    conclude,
)
from currantstage.coordination._errors import (
    CoordinationError,
    StoreAwayError,
    StoreContentError,
    WriteUncertainError,
)
from currantstage.coordination._keys import (
    digest_secret,
    identify_team,
)
from currantstage.coordination._local_limits import (
    LocalTeamLimiter,
    LocalWorkerSlots,
)
from currantstage.coordination._note_check import (
    MAX_CONFIG_LEASE_S,
    MIN_CONFIG_LEASE_S,
    IdT,
    NoteFault,
    RecordT,
    check_note,
)
from currantstage.coordination._note_commit import (
    Committed,
    Head,
    NoteIdTaken,
    NoteInvalid,
    NoteOvertaken,
    NoteRefusal,
    commit_note,
    load_head,
)
from currantstage.coordination._note_status import (
    NoteProgress,
    note_progress,
)
from currantstage.coordination._outcomes import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    SendFailure,
    Uncertain,
)
from currantstage.coordination._policies import (
    SharePolicy,
    TeamLimiter,
    TeamLoad,
    WorkerSlots,
)
from currantstage.coordination._procedures import (
    Done,
    GetObject,
    ObjectFetched,
    Pause,
    Procedure,
    PutObject,
    ReadRow,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreCall,
    StoreFailed,
    StoreReply,
    Transact,
    Transacted,
)
from currantstage.coordination._shares import (
    LOCAL_FLOOR_FRACTION,
    ROUNDING_SLOTS,
    TeamDemand,
    WeightedMaxMin,
    max_min_slots,
)
from currantstage.coordination._store_access import (
    ATTEMPT_ID_BITS,
    ReplyT,
    RetryPolicy,
    StoreAccess,
)

__all__ = [
    "ATTEMPT_ID_BITS",
    "Answer",
    "Assignment",
    "Committed",
    "Configuration",
    "CoordinationError",
    "Dispatcher",
    "Done",
    "GetObject",
    "Head",
    "IdT",
    "LOCAL_FLOOR_FRACTION",
    "LocalTeamLimiter",
    "LocalWorkerSlots",
    "MAX_CONFIG_LEASE_S",
    "MIN_CONFIG_LEASE_S",
    "Membership",
    "NoteFault",
    "NoteIdTaken",
    "NoteInvalid",
    "NoteOvertaken",
    "NoteProgress",
    "NoteRefusal",
    "ObjectFetched",
    "Outcome",
    "Pause",
    "Procedure",
    "PutObject",
    "RETRY_AFTER_S",
    "ROUNDING_SLOTS",
    "ReadRow",
    "RecordT",
    "Refusal",
    "RefusalReason",
    "ReplyT",
    "RequestEnd",
    "RetryPolicy",
    "RowRead",
    "RowsScanned",
    "ScanRows",
    "SendFailure",
    "SharePolicy",
    "StoreAccess",
    "StoreAwayError",
    "StoreCall",
    "StoreContentError",
    "StoreFailed",
    "StoreReply",
    "TeamDemand",
    "TeamLimiter",
    "TeamLoad",
    "Transact",
    "Transacted",
    "Uncertain",
    "WeightedMaxMin",
    "WorkerSlots",
    "WriteUncertainError",
    "check_note",
    "commit_note",
    "conclude",
    "digest_secret",
    "identify_team",
    "load_head",
    "max_min_slots",
    "note_progress",
]
