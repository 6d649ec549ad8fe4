"""Simulated workers of a site and the connections to them, with fault injection."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import cycle
from typing import TYPE_CHECKING

import msgspec

from currantstage.standin.jobs._simulated_worker import (
    MAX_LEASE_S,
    SimulatedWorker,
    virtual_now_s,
)
from currantstage.state.jobs import (
    BornMs,
    EndKind,
    OrderOutcome,
    RenewalReply,
    RowName,
    RowWrite,
    WorkerId,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from currantstage.standin.jobs._oracle import Oracle
    from currantstage.standin.jobs._store import SimulatedStore
    from currantstage.state.jobs import (
        PaceOrder,
        RenewalOrder,
        StartOrder,
        StopOrder,
        TaskKey,
        WorkerEntry,
    )

WORKERS_TABLE = "servers"
#: Latency between a daemon and a worker in each direction, in seconds.
ONE_WAY_LATENCY_S = 0.0005
#: Timeout of an order, in seconds.
ORDER_TIMEOUT_S = 0.5
#: Rates of the workers' clocks, in turn; a clock may be 2% slow.
CLOCK_RATES = (1.0, 0.98, 0.99)
#: Time for which an entry stays in the store after its worker ended, in seconds.
ENTRY_EXPIRY_S = 4.5
#: Time from the crash of a worker to its return by default, in seconds.
CRASH_RETURN_S = 3.0
#: Time after which a run fails on a worker on which all runs do, in seconds.
GREY_RUN_S = 0.2
#: Payload of a job whose first task of each step crashes every worker that starts it.
DEADLY_SPEC = "deadly"
#: Bounds of the delay after which a late order is carried out, in seconds.
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0


class SimulatedWorkers:
    """All workers, and the injected faults.

    Parameters
    ----------
    store : SimulatedStore
        Store of the workers' entries.
    oracle : Oracle
    random : random.Random
    clock_rates : sequence of float
        Rates of the workers' clocks, in turn.
    """

    def __init__(
        self,
        store: SimulatedStore,
        oracle: Oracle,
        random: random.Random,
        clock_rates: Sequence[float] = CLOCK_RATES,
    ) -> None:
        self.oracle = oracle
        self.random = random
        self.workers: dict[WorkerId, SimulatedWorker] = {}
        #: Workers that run on but are unreachable for all callers.
        self.unreachable: set[WorkerId] = set()
        #: Workers that have ended and do not even refuse connections.
        self.silent: set[WorkerId] = set()
        #: Pairs of a daemon and a worker that is unreachable for it.
        self.unreachable_pairs: set[tuple[str, WorkerId]] = set()
        #: Number of start orders that each daemon has sent.
        self.starts_by_caller: Counter[str] = Counter()
        #: When each daemon last sent an order of any kind, in seconds.
        self.last_order_s: dict[str, float] = {}
        #: Workers whose runs show no progress.
        self.without_progress: set[WorkerId] = set()
        #: Workers on which all runs fail, at once.
        self.grey: set[WorkerId] = set()
        self.late_fraction = 0.0
        self.late_hold_fraction = 0.0
        self.failing_fraction = 0.0
        #: Longest lease that a worker grants, in seconds.
        self.max_lease_s = MAX_LEASE_S
        #: Whether a worker that a task has crashed comes back under another id.
        self.returns_under_new_id = False
        #: Time from a crash that a task causes to the worker's return, in seconds.
        self.crash_return_s = CRASH_RETURN_S
        self._store = store
        self._clock_rates = cycle(clock_rates)

    def add(self, entry: WorkerEntry) -> SimulatedWorker:
        """Start a worker and write its entry."""
        worker = SimulatedWorker(entry, self, next(self._clock_rates))
        self.workers[entry.worker] = worker
        self.publish(entry)
        return worker

    def publish(self, entry: WorkerEntry) -> None:
        """Write a worker's entry."""
        name = RowName(WORKERS_TABLE, "", entry.worker)
        self._store.apply((), (RowWrite(name, msgspec.json.encode(entry)),))

    def crash(self, worker: WorkerId, *, is_silent: bool = False) -> None:
        """End a worker; its entry stays for `ENTRY_EXPIRY_S`."""
        self.workers[worker].crash()
        if is_silent:
            self.silent.add(worker)
        entry = self.workers[worker].entry
        asyncio.get_running_loop().call_later(ENTRY_EXPIRY_S, self._expire, entry)

    def restart(self, worker: WorkerId) -> None:
        """Start a new incarnation of a worker under the same id."""
        old = self.workers[worker]
        old.crash()
        born_ms = BornMs(int(virtual_now_s() * 1000))
        self.silent.discard(worker)
        self.add(msgspec.structs.replace(old.entry, born_ms=born_ms))

    def is_reachable(self, worker: WorkerId) -> bool:
        """Return whether a worker is up and can be reached."""
        return (
            self.workers[worker].is_up
            and worker not in self.unreachable
            and worker not in self.silent
        )

    def is_deadly(self, task: TaskKey) -> bool:
        """Return whether a task crashes every worker that starts it."""
        spec = self.oracle.submitted[task.job].spec
        return spec == DEADLY_SPEC and task.number == 0

    def crash_and_return(self, worker: SimulatedWorker) -> None:
        """Crash a worker; its VM runs another one after a while."""
        if not worker.is_up:
            return
        self.oracle.on_worker_crash(worker)
        worker.crash()
        asyncio.get_running_loop().call_later(self.crash_return_s, self._return, worker)

    def _return(self, worker: SimulatedWorker) -> None:
        if not self.returns_under_new_id:
            self.restart(worker.entry.worker)
            return
        self._expire(worker.entry)
        now_ms = int(virtual_now_s() * 1000)
        new_id = WorkerId(f"{worker.entry.worker.partition('@')[0]}@{now_ms}")
        self.add(
            msgspec.structs.replace(worker.entry, worker=new_id, born_ms=BornMs(now_ms))
        )

    def run_duration_s(self, worker: WorkerId, task: TaskKey) -> float | None:
        """Return the run time of a task; None if it runs until it is stopped."""
        if worker in self.grey:
            return GREY_RUN_S
        step = self.oracle.submitted[task.job].steps[task.step]
        return None if step.is_long_running else step.estimated_run_ms / 1000

    def end_kind(self, worker: WorkerId, task: TaskKey) -> EndKind:
        """Return how a run of a task ends if it is not stopped."""
        is_hopeless = self.oracle.submitted[task.job].spec == "hopeless"
        if is_hopeless or worker in self.grey:
            return EndKind.FAILED
        is_failing = self.random.random() < self.failing_fraction
        return EndKind.FAILED if is_failing else EndKind.DONE

    def for_caller(self, caller: str) -> WorkerConnections:
        """Return the connections of `caller` to the workers."""
        return WorkerConnections(self, caller)

    def _expire(self, entry: WorkerEntry) -> None:
        if self.workers[entry.worker].entry.born_ms == entry.born_ms:
            name = RowName(WORKERS_TABLE, "", entry.worker)
            self._store.apply((), (RowWrite(name, None),))


class WorkerConnections:
    """Implements `WorkerOrders` for one caller."""

    def __init__(self, fleet: SimulatedWorkers, caller: str) -> None:
        self._fleet = fleet
        self._caller = caller

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        self._fleet.starts_by_caller[self._caller] += 1
        worker = await self._reach(order.worker.worker)
        if isinstance(worker, OrderOutcome):
            return worker
        if self._fleet.random.random() < self._fleet.late_fraction:
            late_s = self._fleet.random.uniform(LATE_MIN_S, LATE_MAX_S)
            asyncio.get_running_loop().call_later(late_s, self._start_late, order)
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return OrderOutcome.UNKNOWN
        outcome = worker.start(order, is_late=False)
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return outcome

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stop a run."""
        worker = await self._reach(order.worker.worker)
        if isinstance(worker, OrderOutcome):
            return worker
        return worker.stop(order)

    async def hold(self, order: RenewalOrder) -> RenewalReply | OrderOutcome:
        """Renew a lease; return the worker's runs, or the outcome if the call fails."""
        worker = await self._reach(order.worker.worker)
        if isinstance(worker, OrderOutcome):
            return worker
        if self._fleet.random.random() < self._fleet.late_hold_fraction:
            late_s = self._fleet.random.uniform(LATE_MIN_S, LATE_MAX_S)
            asyncio.get_running_loop().call_later(late_s, self._hold_late, order)
            await asyncio.sleep(ORDER_TIMEOUT_S + order.wait_ms / 1000)
            return OrderOutcome.UNKNOWN
        reply = await worker.hold(order)
        if not worker.is_up or order.worker.worker in self._fleet.unreachable:
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return reply

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Limit the pace of a run."""
        worker = await self._reach(order.worker.worker)
        return worker if isinstance(worker, OrderOutcome) else OrderOutcome.ACCEPTED

    # A worker that has started again takes what was meant for its earlier incarnation.

    def _start_late(self, order: StartOrder) -> None:
        worker = self._fleet.workers.get(order.worker.worker)
        if worker is not None and worker.is_up:
            worker.start(order, is_late=True)

    def _hold_late(self, order: RenewalOrder) -> None:
        worker = self._fleet.workers.get(order.worker.worker)
        if worker is not None and worker.is_up:
            worker.hold_late(order)

    async def _reach(self, worker: WorkerId) -> SimulatedWorker | OrderOutcome:
        fleet = self._fleet
        fleet.last_order_s[self._caller] = virtual_now_s()
        found = fleet.workers.get(worker)
        is_unreachable = (
            worker in fleet.unreachable
            or (self._caller, worker) in fleet.unreachable_pairs
        )
        if found is None or is_unreachable or worker in fleet.silent:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return found if found.is_up else OrderOutcome.UNSENT
