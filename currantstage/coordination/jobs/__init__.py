"""Job scheduling: readiness, placement, pool sizing and the scheduler's lease."""

from __future__ import annotations

from currantstage.coordination.jobs._adaptive_timeout import AdaptiveTimeout
from currantstage.coordination.jobs._advice_tracker import AdviceTracker
from currantstage.coordination.jobs._availability import may_interrupt
from currantstage.coordination.jobs._confirmation import Confirmation
from currantstage.coordination.jobs._fleet_manager import FleetManager
from currantstage.coordination.jobs._inherited_leases import (
    InheritedLeases,
    RemainingLease,
    RunEnds,
    WorkerLeaseListing,
    WorkerLeaseRow,
)
from currantstage.coordination.jobs._job_table import JobTable
from currantstage.coordination.jobs._maintenance_plan import MaintenancePlan, WaveState
from currantstage.coordination.jobs._ordering import (
    LeastWorkFirst,
    Rank,
    StepOrder,
    Timeliness,
)
from currantstage.coordination.jobs._owner_lease import (
    NO_HOLDER,
    HeldLease,
    HolderAnswer,
    LeaseRow,
    LeaseTakeover,
    LeaseWatch,
    ListedVmOrder,
    TakeoverGround,
    takeover_deference_s,
)
from currantstage.coordination.jobs._pacing import PaceController
from currantstage.coordination.jobs._pause_limits import PauseLimits
from currantstage.coordination.jobs._placement import SpreadPlacement, TaskPlacement
from currantstage.coordination.jobs._pool_demand import PoolDemand, WorkDemand
from currantstage.coordination.jobs._pool_plan import PoolPlan, PoolSize, VmPresence
from currantstage.coordination.jobs._pool_sizing import (
    DemandSizing,
    FixedSizing,
    PoolSizing,
    WantedVms,
)
from currantstage.coordination.jobs._progress_batch import (
    ProgressBatch,
    StorableEnds,
)
from currantstage.coordination.jobs._records import JobRecord, StepRecord
from currantstage.coordination.jobs._reply_comparison import RunChanges
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._run_loss import LossCause
from currantstage.coordination.jobs._scheduler import Scheduler
from currantstage.coordination.jobs._scheduler_capacity import SchedulerCapacity
from currantstage.coordination.jobs._start_relays import (
    RELAY_PERMIT_S,
    RelayTable,
    StartDivision,
    divide_starts,
)
from currantstage.coordination.jobs._store_health import StoreHealth
from currantstage.coordination.jobs._task_record import TaskRecord
from currantstage.coordination.jobs._team_usage import TeamUsage
from currantstage.coordination.jobs._tuning import SchedulerTuning
from currantstage.coordination.jobs._unsaved_pages import (
    MAX_PAGES_PER_WRITE,
    MAX_WRITE_BYTES,
    PageWrite,
)
from currantstage.coordination.jobs._vm_division import MaxMinDivision, VmDivision
from currantstage.coordination.jobs._vm_order_breaker import VmOrderBreaker
from currantstage.coordination.jobs._vm_order_cooldown import VmOrderCooldown
from currantstage.coordination.jobs._vm_table import (
    VmGoal,
    VmOrder,
    VmState,
    VmTable,
    VmWork,
)
from currantstage.coordination.jobs._wait_report import (
    ACCEPTING,
    WaitingTask,
    WaitReporter,
    count_blockers,
    count_by_pool,
)
from currantstage.coordination.jobs._worker_lease_book import WorkerLeaseBook
from currantstage.coordination.jobs._worker_pause import PauseGround
from currantstage.coordination.jobs._worker_room import CandidateWorkers
from currantstage.coordination.jobs._worker_state import (
    StartBlocker,
    WorkerState,
    first_fence,
)
from currantstage.coordination.jobs._worker_table import WorkerTable

__all__ = [
    "ACCEPTING",
    "MAX_PAGES_PER_WRITE",
    "MAX_WRITE_BYTES",
    "PageWrite",
    "StorableEnds",
    "AdaptiveTimeout",
    "AdviceTracker",
    "Confirmation",
    "CandidateWorkers",
    "DemandSizing",
    "FixedSizing",
    "FleetManager",
    "HeldLease",
    "HolderAnswer",
    "InheritedLeases",
    "JobRecord",
    "JobTable",
    "TakeoverGround",
    "LeaseTakeover",
    "LeaseRow",
    "LeaseWatch",
    "LeastWorkFirst",
    "ListedVmOrder",
    "LossCause",
    "NO_HOLDER",
    "PaceController",
    "PauseGround",
    "PauseLimits",
    "PoolDemand",
    "PoolPlan",
    "PoolSize",
    "PoolSizing",
    "VmDivision",
    "VmPresence",
    "WantedVms",
    "WorkDemand",
    "ProgressBatch",
    "RELAY_PERMIT_S",
    "RelayTable",
    "StartDivision",
    "divide_starts",
    "Rank",
    "RemainingLease",
    "Run",
    "RunEnds",
    "RunPhase",
    "Scheduler",
    "SchedulerCapacity",
    "SchedulerTuning",
    "SpreadPlacement",
    "StepOrder",
    "StepRecord",
    "StoreHealth",
    "TaskPlacement",
    "TaskRecord",
    "TeamUsage",
    "Timeliness",
    "MaintenancePlan",
    "MaxMinDivision",
    "VmGoal",
    "VmOrder",
    "VmState",
    "VmTable",
    "VmOrderBreaker",
    "VmOrderCooldown",
    "VmWork",
    "StartBlocker",
    "WaitReporter",
    "WaitingTask",
    "WaveState",
    "WorkerLeaseBook",
    "WorkerLeaseListing",
    "WorkerLeaseRow",
    "WorkerState",
    "RunChanges",
    "WorkerTable",
    "count_blockers",
    "count_by_pool",
    "first_fence",
    "may_interrupt",
    "takeover_deference_s",
]
