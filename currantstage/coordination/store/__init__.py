"""Access to the platform's tables: procedures, retries, leases on duties."""

from __future__ import annotations

from currantstage.coordination.store._duty_lease import (
    DUTY_LEASE_S,
    Duty,
    DutyGrant,
    DutyLeases,
)
from currantstage.coordination.store._lease_time import (
    MAX_CLOCK_DRIFT,
    RENEWALS_PER_LEASE,
    observer_wait_s,
)
from currantstage.coordination.store._procedures import (
    ClockRead,
    DeleteObject,
    Done,
    GetObject,
    ListObjects,
    ListVms,
    ObjectFetched,
    ObjectsListed,
    Pause,
    PlatformCall,
    Procedure,
    PutObject,
    ReadClock,
    ReadRow,
    ReadUnixTime,
    RebootAnswered,
    RebootVm,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreCall,
    StoreFailed,
    StoreReply,
    Transact,
    Transacted,
    VmsListed,
)
from currantstage.coordination.store._retry_budget import (
    RetryBudget,
)
from currantstage.coordination.store._store_access import (
    RetryPolicy,
    StoreAccess,
)
from currantstage.coordination.store._store_health import (
    OPEN_S,
)

__all__ = [
    "ClockRead",
    "DUTY_LEASE_S",
    "DeleteObject",
    "Done",
    "Duty",
    "DutyGrant",
    "DutyLeases",
    "GetObject",
    "ListObjects",
    "ListVms",
    "MAX_CLOCK_DRIFT",
    "OPEN_S",
    "ObjectFetched",
    "ObjectsListed",
    "Pause",
    "PlatformCall",
    "Procedure",
    "PutObject",
    "RENEWALS_PER_LEASE",
    "ReadClock",
    "ReadRow",
    "ReadUnixTime",
    "RebootAnswered",
    "RebootVm",
    "RetryBudget",
    "RetryPolicy",
    "RowRead",
    "RowsScanned",
    "ScanRows",
    "StoreAccess",
    "StoreCall",
    "StoreFailed",
    "StoreReply",
    "Transact",
    "Transacted",
    "VmsListed",
    "observer_wait_s",
]
