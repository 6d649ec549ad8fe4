"""Decisions about jobs: what is ready, where it runs, and who may decide it."""

from __future__ import annotations

from currantstage.coordination.jobs._adaptive_timeout import AdaptiveTimeout
from currantstage.coordination.jobs._advice_book import AdviceBook
from currantstage.coordination.jobs._availability import may_interrupt
from currantstage.coordination.jobs._fleet_manager import FleetManager
from currantstage.coordination.jobs._job_table import JobTable
from currantstage.coordination.jobs._ordering import LeastWorkFirst, Rank, StepOrder
from currantstage.coordination.jobs._owner_lease import (
    NOBODY,
    ClaimGround,
    HeldLease,
    HolderAnswer,
    LeaseClaim,
    LeaseRow,
    LeaseWatch,
)
from currantstage.coordination.jobs._pacing import PaceKeeper
from currantstage.coordination.jobs._placement import SpreadPlacement, TaskPlacement
from currantstage.coordination.jobs._pool_plan import (
    DemandSizing,
    FixedSizing,
    PoolDemand,
    PoolPlan,
    PoolSize,
    PoolSizing,
)
from currantstage.coordination.jobs._records import (
    JobRecord,
    Run,
    RunPhase,
    StepRecord,
    TaskRecord,
)
from currantstage.coordination.jobs._scheduler import EndMark, ProgressBatch, Scheduler
from currantstage.coordination.jobs._store_health import StoreHealth
from currantstage.coordination.jobs._team_usage import TeamUsage
from currantstage.coordination.jobs._tuning import SchedulerTuning
from currantstage.coordination.jobs._upkeep_plan import UpkeepPlan, WaveState
from currantstage.coordination.jobs._vm_table import (
    VmGoal,
    VmOrder,
    VmState,
    VmTable,
    VmWork,
)
from currantstage.coordination.jobs._vm_turns import VmTurns
from currantstage.coordination.jobs._worker_book import WorkerBook, first_fence
from currantstage.coordination.jobs._worker_table import WorkerNews, WorkerTable

__all__ = [
    "AdaptiveTimeout",
    "AdviceBook",
    "DemandSizing",
    "EndMark",
    "FixedSizing",
    "FleetManager",
    "HeldLease",
    "HolderAnswer",
    "JobRecord",
    "JobTable",
    "ClaimGround",
    "LeaseClaim",
    "LeaseRow",
    "LeaseWatch",
    "LeastWorkFirst",
    "NOBODY",
    "PaceKeeper",
    "PoolDemand",
    "PoolPlan",
    "PoolSize",
    "PoolSizing",
    "ProgressBatch",
    "Rank",
    "Run",
    "RunPhase",
    "Scheduler",
    "SchedulerTuning",
    "SpreadPlacement",
    "StepOrder",
    "StepRecord",
    "StoreHealth",
    "TaskPlacement",
    "TaskRecord",
    "TeamUsage",
    "UpkeepPlan",
    "VmGoal",
    "VmOrder",
    "VmState",
    "VmTable",
    "VmTurns",
    "VmWork",
    "WaveState",
    "WorkerBook",
    "WorkerNews",
    "WorkerTable",
    "first_fence",
    "may_interrupt",
]
