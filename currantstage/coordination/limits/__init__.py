"""Upper limits and shares of teams, enforced across all entry VMs."""

from __future__ import annotations

from currantstage.coordination.limits._allotment_account import AllotmentAccount
from currantstage.coordination.limits._allotment_exchange import AllotmentExchange
from currantstage.coordination.limits._allotment_ledger import (
    allotted_slots,
    longest_work_s,
    resources_above_limit,
    team_limits,
    worker_limits,
)
from currantstage.coordination.limits._allotment_messages import (
    AllotmentMessage,
    AllotmentReceipt,
    AllotmentRequest,
    AllotmentTransfer,
    Peer,
    SendToPeer,
)
from currantstage.coordination.limits._allotment_plan import AllotmentNeeds
from currantstage.coordination.limits._allotment_reclaim import (
    MAX_VM_LIST_LAG_S,
    AllotmentReclaimer,
    FleetView,
    ReclaimReport,
)
from currantstage.coordination.limits._allotment_settlement import (
    AllotmentSettlement,
    SettlementOutcome,
)
from currantstage.coordination.limits._limit_check import AllotmentLimitCheck
from currantstage.coordination.limits._reclaiming_duty import ReclaimingDuty
from currantstage.coordination.limits._share_distance import (
    QueueLoad,
    ShareDistance,
    measure_shares,
)
from currantstage.coordination.limits._shares import (
    TeamDemand,
    WeightedMaxMin,
    max_min_slots,
)
from currantstage.coordination.limits._usage import (
    USAGE_EXPIRY_S,
    USAGE_INTERVAL_S,
    UsageReport,
    UsageTracker,
)

__all__ = [
    "AllotmentRequest",
    "AllotmentAccount",
    "AllotmentExchange",
    "AllotmentLimitCheck",
    "AllotmentMessage",
    "AllotmentNeeds",
    "AllotmentReceipt",
    "AllotmentReclaimer",
    "AllotmentSettlement",
    "AllotmentTransfer",
    "FleetView",
    "MAX_VM_LIST_LAG_S",
    "Peer",
    "QueueLoad",
    "ReclaimReport",
    "ReclaimingDuty",
    "SendToPeer",
    "SettlementOutcome",
    "ShareDistance",
    "TeamDemand",
    "USAGE_EXPIRY_S",
    "USAGE_INTERVAL_S",
    "UsageTracker",
    "UsageReport",
    "WeightedMaxMin",
    "allotted_slots",
    "longest_work_s",
    "max_min_slots",
    "measure_shares",
    "resources_above_limit",
    "team_limits",
    "worker_limits",
]
