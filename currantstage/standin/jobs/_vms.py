"""Simulated VMs, which move between pools and go down for maintenance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from currantstage.state import VmId
from currantstage.state.jobs import (
    BornMs,
    VmCondition,
    VmOrderOutcome,
    VmRecord,
    WorkerId,
)

if TYPE_CHECKING:
    from currantstage.standin.jobs._oracle import Oracle
    from currantstage.standin.jobs._workers import SimulatedWorkers
    from currantstage.state import PoolId
    from currantstage.state.jobs import MaintenanceWave, Term, WorkerEntry

#: Latency of a call, in seconds.
CALL_LATENCY_S = 0.004
#: Timeout of an order, in seconds.
ORDER_TIMEOUT_S = 0.5
#: Downtime of a VM for a move and for maintenance, in seconds.
MOVE_DURATION_S = 1.5
MAINTENANCE_DURATION_S = 2.0
#: Minimum time between orders of two schedulers for one VM, in seconds.
MIN_ORDER_INTERVAL_S = 3.0


class SimulatedVms:
    """Implements `VmOrders`.

    Parameters
    ----------
    workers : SimulatedWorkers
    oracle : Oracle
    """

    def __init__(self, workers: SimulatedWorkers, oracle: Oracle) -> None:
        self.waves: dict[int, MaintenanceWave] = {}
        self.maintained: set[tuple[int, VmId]] = set()
        self._workers = workers
        self._oracle = oracle
        self._records: dict[VmId, VmRecord] = {}
        self._entries: dict[VmId, WorkerEntry] = {}
        self._terms: dict[VmId, int] = {}
        self._ordered_s: dict[VmId, float] = {}
        #: When a scheduler of each term last sent an order, in seconds.
        self.last_order_s: dict[Term, float] = {}
        self._restarts = 0
        #: Number of moves and maintenances that have begun.
        self.planned_downtimes = 0
        #: How late the next maintenance orders are carried out, in seconds; each of
        #: them gets no answer.
        self.late_upkeeps_s: list[float] = []
        #: How late a list arrives that was made in time, in seconds.
        self.list_delay_s = 0.0
        #: Whether a VM at planned work is listed with the worker that it had.
        self.lists_former_worker = False

    def add(self, vm: str, entry: WorkerEntry, *, has_worker: bool) -> None:
        """Add a VM, with or without a worker on it."""
        self._entries[VmId(vm)] = entry
        self._records[VmId(vm)] = VmRecord(
            vm=VmId(vm),
            pool=entry.pool,
            condition=VmCondition.UP,
            data_centre=entry.data_centre,
            labels=entry.labels,
            capacity=entry.capacity,
            worker=entry.worker if has_worker else WorkerId(""),
        )
        if has_worker:
            self._workers.add(entry)

    def remove(self, vm: str) -> None:
        """Remove a VM without a worker."""
        del self._records[VmId(vm)]

    def lose(self, vm: str) -> None:
        """Take a VM down for good; its worker ends without a sign of it."""
        record = self._records[VmId(vm)]
        self._workers.crash(record.worker, is_silent=True)
        self._records[record.vm] = msgspec.structs.replace(
            record, condition=VmCondition.DOWN
        )

    def vm_of(self, worker: WorkerId) -> VmId:
        """Return the VM that a worker is on."""
        records = self._records.values()
        return next(each.vm for each in records if each.worker == worker)

    def pool_of(self, vm: str) -> PoolId:
        """Return the pool that a VM is in."""
        return self._records[VmId(vm)].pool

    async def list(self) -> tuple[VmRecord, ...]:
        """Return all VMs."""
        await asyncio.sleep(CALL_LATENCY_S)
        records = tuple(self._records.values())
        if self.list_delay_s:
            await asyncio.sleep(self.list_delay_s)
        return records

    def fail(self, vm: str, downtime_s: float) -> None:
        """Take a VM down without an order; it returns with another worker."""
        record = self._records[VmId(vm)]
        self._take_down(record, VmCondition.DOWN, record.pool, downtime_s)

    async def move(self, vm: VmId, pool: PoolId, term: Term) -> VmOrderOutcome:
        """Move a VM to another pool; this ends every run on it."""
        self.last_order_s[term] = asyncio.get_running_loop().time()
        await asyncio.sleep(CALL_LATENCY_S)
        record = self._records[vm]
        if record.pool == pool:
            return VmOrderOutcome.DONE
        refusal = self._check(record, term)
        if refusal is not None:
            return refusal
        self._take_down(record, VmCondition.MOVING, pool, MOVE_DURATION_S)
        return VmOrderOutcome.DONE

    async def maintain(self, vm: VmId, wave: int, term: Term) -> VmOrderOutcome:
        """Take a VM down for maintenance; this ends every run on it."""
        self.last_order_s[term] = asyncio.get_running_loop().time()
        await asyncio.sleep(CALL_LATENCY_S)
        if self.late_upkeeps_s:
            late_s = self.late_upkeeps_s.pop(0)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._maintain, vm, wave, term)
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return VmOrderOutcome.UNAVAILABLE
        return self._maintain(vm, wave, term)

    def _maintain(self, vm: VmId, wave: int, term: Term) -> VmOrderOutcome:
        record = self._records[vm]
        if (wave, vm) in self.maintained:
            return VmOrderOutcome.DONE
        refusal = self._check(record, term)
        if refusal is not None:
            return refusal
        if vm not in self.waves[wave].vms:
            return VmOrderOutcome.NOT_IN_WAVE
        down = sum(
            each.condition is VmCondition.MAINTENANCE
            and each.vm in self.waves[wave].vms
            for each in self._records.values()
        )
        if down >= self.waves[wave].max_down:
            self._oracle.violations.append(f"LIMIT: {down} VMs of wave {wave} down")
        self.maintained.add((wave, vm))
        self._take_down(
            record, VmCondition.MAINTENANCE, record.pool, MAINTENANCE_DURATION_S
        )
        return VmOrderOutcome.DONE

    def _check(self, record: VmRecord, term: Term) -> VmOrderOutcome | None:
        if term < self._terms.get(record.vm, 0):
            return VmOrderOutcome.FENCED
        self._check_order_interval(record.vm, term)
        self._terms[record.vm] = term
        if record.condition is not VmCondition.UP:
            return VmOrderOutcome.BUSY
        return None

    def _check_order_interval(self, vm: VmId, term: Term) -> None:
        """Check the interval between orders of two schedulers for one VM."""
        now_s = asyncio.get_running_loop().time()
        interval_s = now_s - self._ordered_s.get(vm, float("-inf"))
        if term != self._terms.get(vm, term) and interval_s < MIN_ORDER_INTERVAL_S:
            self._oracle.violations.append(
                f"ONE: {vm} ordered {interval_s:.2f} s apart"
            )
        self._ordered_s[vm] = now_s

    def _take_down(
        self, record: VmRecord, condition: VmCondition, pool: PoolId, downtime_s: float
    ) -> None:
        if record.worker:
            self._workers.crash(record.worker)
        is_planned = condition is not VmCondition.DOWN
        self.planned_downtimes += is_planned
        keeps_worker = is_planned and self.lists_former_worker
        self._records[record.vm] = msgspec.structs.replace(
            record,
            condition=condition,
            pool=pool,
            worker=record.worker if keeps_worker else WorkerId(""),
        )
        asyncio.get_running_loop().call_later(downtime_s, self._bring_up, record.vm)

    def _bring_up(self, vm: VmId) -> None:
        record = self._records[vm]
        self._restarts += 1
        worker = WorkerId("")
        if record.pool != "spare":
            worker = WorkerId(f"i-life-{self._restarts}")
            now_ms = int(asyncio.get_running_loop().time() * 1000)
            entry = msgspec.structs.replace(
                self._entries[vm],
                worker=worker,
                pool=record.pool,
                born_ms=BornMs(now_ms),
            )
            self._workers.add(entry)
        self._records[vm] = msgspec.structs.replace(
            record, condition=VmCondition.UP, worker=worker
        )
