"""Planning of moves between pools from estimated demand."""

from __future__ import annotations

from msgspec.structs import replace

from currantstage.coordination.fleet import (
    BeginMove,
    DemandEstimator,
    FleetRows,
    FleetSnapshot,
    MovePolicy,
    plan_moves,
)
from currantstage.state import (
    ABSENT,
    BudgetRow,
    Fleet,
    PlacementRow,
    PoolId,
    VmId,
    VmLiveness,
    VmRow,
    VmState,
)
from tests.fleet_harness import DATA_CENTRE, make_pool, make_vm

A, B, SPARE = PoolId("a"), PoolId("b"), PoolId("spare")
POLICY = MovePolicy(min_spare_vms=1)


def make_snapshot(*, max_unavailable=3, now_s=0.0, **borrowers: str) -> FleetSnapshot:
    """Return a fleet of three pools with three VMs each.

    `borrowers` maps spare VMs to the pools that borrow them.
    """
    pools = [
        make_pool("a"),
        make_pool("b"),
        make_pool(
            "spare",
            is_spare=True,
            max_unavailable=max_unavailable,
            max_unavailable_per_rack=max_unavailable,
        ),
    ]
    vms = [
        make_vm(f"{pool.pool_id}{n}", pool.pool_id, f"r{n}")
        for pool in pools
        for n in (1, 2, 3)
    ]
    rows = {
        vm.vm_id: VmRow(
            vm_id=vm.vm_id,
            pool=PoolId(borrowers.get(vm.vm_id, vm.pool)),
            home=vm.pool,
            data_centre=DATA_CENTRE,
            rack=vm.rack,
            state=VmState.SERVING,
        )
        for vm in vms
    }
    return FleetSnapshot(
        now_s=now_s,
        fleet=Fleet(
            pools={pool.pool_id: pool for pool in pools},
            vms={vm.vm_id: vm for vm in vms},
        ),
        head_version=ABSENT,
        rows=FleetRows(vms=rows),
        liveness=dict.fromkeys(rows, VmLiveness.LIVE),
    )


def observe(
    demand: DemandEstimator, start_s: int, end_s: int, a: float, b: float = 0.0
) -> None:
    for now_s in range(start_s, end_s, 2):
        demand.observe(float(now_s), {A: a, B: b, SPARE: 0.0}, max_vms=6)


def estimate_demand(a: float, b: float = 0.0, duration_s: int = 300) -> DemandEstimator:
    demand = DemandEstimator()
    observe(demand, 0, 300, 0.0)
    observe(demand, 300, 300 + duration_s, a, b)
    return demand


def test_sustained_demand_borrows_as_many_vms_as_it_occupies():
    actions = plan_moves(make_snapshot(), estimate_demand(a=3.9), POLICY)
    assert actions == (BeginMove(VmId("spare1"), A, is_loan=True),)
    actions = plan_moves(make_snapshot(spare1="a"), estimate_demand(a=4.9), POLICY)
    assert actions == (BeginMove(VmId("spare2"), A, is_loan=True),)


def test_a_short_burst_causes_no_move():
    assert (
        plan_moves(make_snapshot(), estimate_demand(a=5.0, duration_s=20), POLICY) == ()
    )


def test_recurring_short_bursts_borrow_a_vm_that_then_stays():
    demand = DemandEstimator()
    for start_s in range(0, 1000, 50):
        observe(demand, start_s, start_s + 40, 0.1)
        observe(demand, start_s + 40, start_s + 50, 5.0)
    observe(demand, 1000, 1040, 0.1)
    (move,) = plan_moves(make_snapshot(), demand, POLICY)
    assert move.target == A
    lent = make_snapshot(spare1="a", spare2="a")
    assert plan_moves(lent, demand, POLICY) == ()


def test_a_borrowed_vm_moves_directly_to_the_next_borrower():
    demand = estimate_demand(a=5.0)
    observe(demand, 600, 1200, 0.0, 4.9)
    lent = make_snapshot(spare1="a", spare2="a")
    assert plan_moves(lent, demand, POLICY) == (
        BeginMove(VmId("spare1"), B, is_loan=True),
    )


def test_demand_around_a_threshold_does_not_flap():
    demand = estimate_demand(a=3.9)
    for now_s in range(600, 1200, 2):
        load = 3.74 if now_s % 4 else 3.3
        demand.observe(float(now_s), {A: load, B: 0.0, SPARE: 0.0}, max_vms=6)
    vm_demand = demand.vm_demand(A, 4)
    assert vm_demand.is_wanted
    assert vm_demand.remaining_s > 800.0


def test_the_spare_pool_keeps_and_recovers_its_reserve():
    demand = estimate_demand(a=9.0)
    policy = replace_policy(min_spare_vms=3)
    assert plan_moves(make_snapshot(), demand, policy) == ()
    idle = estimate_demand(a=0.0)
    lent = make_snapshot(spare1="a")
    assert plan_moves(lent, idle, policy) == (
        BeginMove(VmId("spare1"), SPARE, is_loan=True),
    )


def test_only_vms_of_spare_pools_are_lent():
    snapshot = make_snapshot(spare1="a", spare2="a")
    actions = plan_moves(snapshot, estimate_demand(a=0.0, b=9.0), POLICY)
    assert {action.vm for action in actions} <= {VmId("spare1"), VmId("spare2")}


def test_moves_per_hour_are_limited():
    snapshot = make_snapshot(now_s=4000.0)
    demand = estimate_demand(a=9.0)
    bounded = replace_policy(max_moves_per_hour=2)
    assert len(plan_moves(snapshot, demand, bounded)) == 1
    snapshot.rows.placements[DATA_CENTRE] = PlacementRow(
        data_centre=DATA_CENTRE, moves_at_s=(300.0, 500.0, 3900.0)
    )
    assert plan_moves(snapshot, demand, bounded) == ()
    later = FleetSnapshot(
        now_s=4200.0,
        fleet=snapshot.fleet,
        head_version=ABSENT,
        rows=snapshot.rows,
        liveness=snapshot.liveness,
    )
    assert len(plan_moves(later, demand, bounded)) == 1


def test_no_move_exceeds_the_budget_of_the_donor_pool():
    snapshot = make_snapshot(max_unavailable=1)
    snapshot.rows.budgets[SPARE] = BudgetRow(
        pool=SPARE, outages={VmId("other"): make_vm("x", "a").rack}
    )
    assert plan_moves(snapshot, estimate_demand(a=9.0), POLICY) == ()


def test_a_vm_in_another_disruption_is_not_moved():
    snapshot = make_snapshot()
    for name in ("spare1", "spare2", "spare3"):
        row = snapshot.rows.vms[VmId(name)]
        snapshot.rows.vms[row.vm_id] = replace(row, state=VmState.IN_MAINTENANCE)
    assert plan_moves(snapshot, estimate_demand(a=9.0), POLICY) == ()


def replace_policy(**fields) -> MovePolicy:
    return MovePolicy(**{"min_spare_vms": 1, **fields})
