"""Plans maintenance and moves of VMs, and empties each before it is touched."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._ordering import remaining_core_s
from currantstage.coordination.jobs._pool_plan import DemandSizing, PoolDemand, PoolPlan
from currantstage.coordination.jobs._upkeep_plan import UpkeepPlan
from currantstage.coordination.jobs._vm_table import VmOrder, VmState, VmTable, VmWork
from currantstage.state.jobs import NO_RESOURCES, Resources, VmOrderOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.coordination.jobs._pool_plan import PoolSize, PoolSizing
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._upkeep_plan import WaveState
    from currantstage.coordination.jobs._vm_turns import VmTurns
    from currantstage.coordination.jobs._worker_book import WorkerBook
    from currantstage.state import PoolId
    from currantstage.state.jobs import VmRecord

#: Weight of a long-running task when the VM that is emptied most easily is looked for,
#: in cores.
LONG_RUNNING_WEIGHT = 100.0
#: Longest that a VM which is to move waits for its tasks to end, in seconds.
MOVE_PATIENCE_S = 6.0


class FleetManager:
    """Decides which VM is maintained or moved next.

    Parameters
    ----------
    scheduler : Scheduler
    tuning : SchedulerTuning
    turns : VmTurns
    sizing : PoolSizing, optional
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tuning: SchedulerTuning,
        turns: VmTurns,
        sizing: PoolSizing | None = None,
    ) -> None:
        self._scheduler = scheduler
        self.vms = VmTable(tuning)
        self._turns = turns
        self.upkeep = UpkeepPlan(self.vms, turns, tuning)
        self._pools = PoolPlan(
            self.vms, sizing or DemandSizing(tuning), tuning.surplus_ms / 1000
        )
        self._is_fenced = False

    def observe(self, records: Iterable[VmRecord], asked_s: float) -> None:
        """Apply the platform's list of VMs."""
        self.vms.observe(records, asked_s)

    def plan(self, now_s: float) -> list[VmOrder]:
        """Set goals, empty VMs, and return the orders that are due."""
        if self._is_fenced:
            return []
        self.upkeep.choose(self._load, now_s)
        self._pools.choose(self._demands(now_s), self._spare_pool(), self._load, now_s)
        cordoned = {vm.record.worker for vm in self.vms.states() if vm.goal is not None}
        for book in self._scheduler.workers.books():
            book.is_cordoned = book.entry.worker in cordoned
        return [
            order
            for vm in self.vms.states()
            if vm.goal is not None
            for order in self._advance(vm, now_s)
        ]

    def answered(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> WaveState | None:
        """Apply what became of an order; return the wave that has advanced by it."""
        if outcome is VmOrderOutcome.FENCED:
            # Another scheduler orders VMs by now; this one does not any more.
            self._is_fenced = True
        done = self.vms.answered(order, outcome, now_s)
        if done is not None:
            self._scheduler.retire_worker(done.ended_worker)
        wave = self.upkeep.waves.get(order.goal.wave)
        if order.goal.work is not VmWork.MAINTENANCE or wave is None:
            return None
        skipped = outcome in (VmOrderOutcome.NOT_IN_WAVE, VmOrderOutcome.MALFORMED)
        if done is None and not skipped:
            return None
        wave.done.add(order.vm)
        return wave

    def is_wave_done(self, wave: WaveState) -> bool:
        """Return whether every VM of the wave that exists has been maintained."""
        return not self.upkeep.remaining(wave)

    @property
    def pool_sizes(self) -> Mapping[PoolId, PoolSize]:
        """What the last plan of moves went by."""
        return self._pools.sizes

    @property
    def is_busy(self) -> bool:
        """Whether any work on VMs is planned or under way."""
        return bool(self.upkeep.open_waves()) or any(
            vm.goal is not None for vm in self.vms.states()
        )

    def _advance(self, vm: VmState, now_s: float) -> list[VmOrder]:
        assert vm.goal is not None
        if vm.done_s is not None or vm.is_waiting or now_s < vm.retry_s:
            return []
        if not self._turns.may_order(vm.record.vm, now_s):
            return []
        wave = self.upkeep.waves.get(vm.goal.wave)
        if vm.sent_s is None:
            if not self._empty(vm, self._patience_s(vm, wave, now_s), now_s):
                return []
            if vm.goal.work is VmWork.MAINTENANCE and not self.upkeep.may_order(
                vm, now_s
            ):
                return []
        self.vms.sent(vm, now_s)
        return [VmOrder(vm.record.vm, vm.goal)]

    def _patience_s(self, vm: VmState, wave: WaveState | None, now_s: float) -> float:
        if wave is None:
            return MOVE_PATIENCE_S
        return self.upkeep.patience_s(wave, now_s)

    def _empty(self, vm: VmState, patience_s: float, now_s: float) -> bool:
        """Return whether nothing runs on a VM; move what can be moved from it."""
        book = self._book(vm)
        if book is None:
            return True
        if not book.is_synced or book.has_orphans or not book.is_cordoned:
            return False
        is_impatient = now_s - vm.since_s > patience_s
        for run in list(book.runs.values()):
            if run.step.is_long_running or is_impatient:
                self._scheduler.interrupt(run, now_s)
        return not book.runs

    def _book(self, vm: VmState) -> WorkerBook | None:
        return self._scheduler.workers.get(vm.record.worker)

    def _load(self, vm: VmState) -> float:
        """Return how much work the VM would have to be emptied of, in cores."""
        book = self._book(vm)
        if book is None:
            return 0.0
        lasting = sum(run.step.is_long_running for run in book.runs.values())
        return book.used.cpu_millicores / 1000 + lasting * LONG_RUNNING_WEIGHT

    def _spare_pool(self) -> PoolId | None:
        pools = self._scheduler.configuration.pools
        return next((each.pool for each in pools if each.is_spare), None)

    def _demands(self, now_s: float) -> dict[PoolId, PoolDemand]:
        lasting: dict[PoolId, Resources] = defaultdict(lambda: NO_RESOURCES)
        remaining: dict[PoolId, float] = defaultdict(float)
        min_vms: dict[PoolId, int] = defaultdict(int)
        capacity: dict[PoolId, float] = defaultdict(float)
        for book in self._scheduler.workers.books():
            if book.takes_starts(now_s):
                capacity[book.entry.pool] += book.entry.capacity.cpu_millicores / 1000
        for step in self._scheduler.jobs.open_steps():
            pool = self._scheduler.pool_of(step)
            if step.step.is_long_running:
                for _ in step.tasks:
                    lasting[pool] = lasting[pool].plus(step.step.room)
                min_vms[pool] = max(min_vms[pool], _spread(step))
            else:
                remaining[pool] += remaining_core_s(step)
        return {
            each.pool: PoolDemand(
                lasting[each.pool],
                remaining[each.pool],
                self._scheduler.arrivals.rate_cores(each.pool, now_s),
                capacity[each.pool],
                min_vms[each.pool],
            )
            for each in self._scheduler.configuration.pools
            if not each.is_spare
        }


def _spread(step: StepRecord) -> int:
    """Return the fewest workers that a long-running step can be spread over."""
    if not step.step.is_long_running or not step.step.max_per_worker:
        return 0
    return -(-len(step.tasks) // step.step.max_per_worker)
