"""What the scheduler knows of whole VMs: where they are, and what is planned."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state.jobs import VmCondition, VmOrderOutcome, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state import PoolId, VmId
    from currantstage.state.jobs import VmRecord

#: Time until an order that got no answer, or found the VM busy, is repeated, in
#: seconds.
ORDER_RETRY_S = 0.6


class VmWork(Enum):
    """What is to be done with a VM."""

    MAINTENANCE = "upkeep"
    MOVE = "move"


@dataclass(frozen=True, slots=True)
class VmGoal:
    """Planned work on a VM: maintenance in a wave, or a move to a pool."""

    work: VmWork
    wave: int = 0
    pool: PoolId | None = None


@dataclass(frozen=True, slots=True)
class VmOrder:
    """An order about a VM, to be sent now."""

    vm: VmId
    goal: VmGoal


@dataclass(slots=True, eq=False)
class VmState:
    """One VM.

    Parameters
    ----------
    record : VmRecord
        As the platform listed it last.
    goal : VmGoal, optional
    since_s : float
        When the goal was set.
    sent_s, done_s : float, optional
        When the order was first sent, and when it was confirmed.
    retry_s : float
        No order before.
    ended_worker : WorkerId
        The worker whose life the order ends; by the time of its answer the VM may
        have another one.
    is_waiting : bool
        An answer is awaited.
    """

    record: VmRecord
    goal: VmGoal | None = None
    since_s: float = 0.0
    sent_s: float | None = None
    done_s: float | None = None
    retry_s: float = 0.0
    ended_worker: WorkerId = WorkerId("")
    is_waiting: bool = False

    @property
    def is_up(self) -> bool:
        """Whether the VM works and no order about it may be under way."""
        return self.record.condition is VmCondition.UP and self.sent_s is None

    @property
    def is_under_order(self) -> bool:
        """Whether the VM is, or may be, away because of an order."""
        return self.sent_s is not None

    def target_pool(self) -> PoolId:
        """Return the pool that the VM is in or on its way to."""
        if self.goal is not None and self.goal.pool is not None:
            return self.goal.pool
        return self.record.pool


class VmTable:
    """VMs by id.

    Parameters
    ----------
    tuning : SchedulerTuning
    """

    def __init__(self, tuning: SchedulerTuning) -> None:
        self._tuning = tuning
        self._states: dict[VmId, VmState] = {}

    def get(self, vm: VmId) -> VmState | None:
        """Return the VM of that id."""
        return self._states.get(vm)

    def states(self) -> Iterable[VmState]:
        """Return all VMs."""
        return self._states.values()

    def observe(self, records: Iterable[VmRecord], asked_s: float) -> None:
        """Apply the platform's list, which was asked for at `asked_s`."""
        listed = {record.vm: record for record in records}
        for vm, record in listed.items():
            state = self._states.setdefault(vm, VmState(record))
            if state.done_s is None or asked_s > state.done_s:
                state.record = record
            self._settle(state, asked_s)
        for vm in self._states.keys() - listed.keys():
            del self._states[vm]

    def set_goal(self, state: VmState, goal: VmGoal, now_s: float) -> None:
        """Plan work on a VM."""
        state.goal = goal
        state.since_s = now_s
        state.retry_s = now_s
        state.is_waiting = False

    def clear_goal(self, state: VmState) -> None:
        """Give up planned work that has not been ordered."""
        state.goal = None
        state.sent_s = None
        state.done_s = None

    def sent(self, state: VmState, now_s: float) -> None:
        """Record that the order is being sent."""
        if state.sent_s is None:
            state.sent_s = now_s
            state.ended_worker = state.record.worker
        state.is_waiting = True

    def answered(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> VmState | None:
        """Apply what became of an order; return the VM if it has been carried out."""
        state = self._states.get(order.vm)
        if state is None or state.goal != order.goal:
            return None
        state.is_waiting = False
        state.retry_s = now_s + ORDER_RETRY_S
        if outcome is VmOrderOutcome.DONE:
            state.done_s = now_s
            return state
        if outcome in (VmOrderOutcome.NOT_IN_WAVE, VmOrderOutcome.MALFORMED):
            self.clear_goal(state)
        return None

    def _settle(self, state: VmState, asked_s: float) -> None:
        """End planned work once the list shows the VM up again after it."""
        if state.done_s is None or state.goal is None:
            return
        away_ms = self._tuning.upkeep_ms
        if state.goal.work is VmWork.MOVE:
            away_ms = self._tuning.move_ms
        is_over = asked_s - state.done_s > away_ms / 1000
        if is_over and state.record.condition is VmCondition.UP:
            self.clear_goal(state)
