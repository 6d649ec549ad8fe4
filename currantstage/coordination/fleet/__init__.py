"""VM placement, moves between pools and maintenance within budgets."""

from __future__ import annotations

from currantstage.coordination.fleet._demand import DemandEstimator
from currantstage.coordination.fleet._demand_aggregator import (
    DemandAggregator,
    DemandReport,
    max_vms_per_pool,
)
from currantstage.coordination.fleet._drain_follower import DrainFollower
from currantstage.coordination.fleet._fleet_actions import Action, BeginMove, VmAction
from currantstage.coordination.fleet._fleet_duty import (
    FLEET_INTERVAL_S,
    FleetDuty,
    load_drain_acks,
    load_entry_vms,
    load_fleet_rows,
)
from currantstage.coordination.fleet._fleet_snapshot import FleetRows, FleetSnapshot
from currantstage.coordination.fleet._move_plan import MovePolicy, plan_moves
from currantstage.coordination.fleet._placement_rows import place_vm
from currantstage.coordination.fleet._reconcile_plan import (
    is_overdue,
    plan_reconciliation,
)
from currantstage.coordination.fleet._vm_transitions import (
    MOVE_WINDOW_S,
    VmRecords,
    make_transition,
)
from currantstage.coordination.fleet._wave_plan import plan_waves, unfinished_vms

__all__ = [
    "Action",
    "BeginMove",
    "DemandAggregator",
    "DemandEstimator",
    "DemandReport",
    "DrainFollower",
    "FLEET_INTERVAL_S",
    "FleetDuty",
    "FleetRows",
    "FleetSnapshot",
    "MOVE_WINDOW_S",
    "MovePolicy",
    "VmAction",
    "VmRecords",
    "is_overdue",
    "load_drain_acks",
    "load_entry_vms",
    "load_fleet_rows",
    "make_transition",
    "max_vms_per_pool",
    "place_vm",
    "plan_moves",
    "plan_reconciliation",
    "plan_waves",
    "unfinished_vms",
]
