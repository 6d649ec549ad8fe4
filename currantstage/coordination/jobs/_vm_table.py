"""State of VMs: their pools, their conditions and the work planned on them."""

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

#: Time until an order is retried that got no answer or found the VM busy, in seconds.
ORDER_RETRY_S = 0.6


class VmWork(Enum):
    """Kind of planned work on a VM."""

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
    """An order for a VM that is to be sent now, and the worker that it ends."""

    vm: VmId
    goal: VmGoal
    worker: WorkerId = WorkerId("")

    @property
    def is_upkeep(self) -> bool:
        """Whether it is for maintenance."""
        return self.goal.work is VmWork.MAINTENANCE

    @property
    def wave(self) -> int | None:
        """The wave of that maintenance."""
        return self.goal.wave if self.is_upkeep else None


@dataclass(slots=True, eq=False)
class VmState:
    """State of a VM.

    Parameters
    ----------
    record : VmRecord
        Its entry in the platform's latest list.
    listed_s : float
        When the list was requested that first showed its worker and condition.
    goal : VmGoal, optional
    goal_set_s : float
        When the goal was set.
    sent_s, done_s : float, optional
        When the order was first sent and when it was confirmed.
    called_s, answered_s : float
        When the latest call of the order began, and when the latest one ended, with or
        without an answer.
    retry_s : float
        No order is sent before this time.
    emptied_s : float, optional
        When tasks that have no place elsewhere were interrupted for the order.
    ended_worker : WorkerId
        The worker that the order ends; by the time the answer arrives, the VM may
        have a new one.
    is_awaiting_answer : bool
        An order has been sent and not answered yet.
    """

    record: VmRecord
    listed_s: float = 0.0
    goal: VmGoal | None = None
    goal_set_s: float = 0.0
    sent_s: float | None = None
    done_s: float | None = None
    called_s: float = float("-inf")
    answered_s: float = float("-inf")
    retry_s: float = 0.0
    emptied_s: float | None = None
    ended_worker: WorkerId = WorkerId("")
    is_awaiting_answer: bool = False

    @property
    def is_up(self) -> bool:
        """Whether the VM is up and no order for it may be in progress."""
        return self.is_listed_up and self.sent_s is None

    @property
    def is_listed_up(self) -> bool:
        """Whether the platform's latest list shows it as up."""
        return self.record.condition is VmCondition.UP

    @property
    def is_order_outstanding(self) -> bool:
        """Whether the VM is, or may be, down because of an order."""
        return self.sent_s is not None

    @property
    def has_kept_its_worker(self) -> bool:
        """Whether the order is confirmed and the worker is there all the same.

        The platform confirms an order also if the work was already done before.
        """
        is_same_worker = self.record.worker == self.ended_worker != WorkerId("")
        return self.done_s is not None and self.is_listed_up and is_same_worker

    def target_pool(self) -> PoolId:
        """Return the destination of a planned move, otherwise the current pool."""
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

    def observe(
        self, records: Iterable[VmRecord], requested_s: float
    ) -> list[WorkerId]:
        """Apply the platform's list, which was requested at `requested_s`.

        Returns the workers that an order was to end and that are there all the same.
        """
        listed = {record.vm: record for record in records}
        kept: list[WorkerId] = []
        for vm, record in listed.items():
            state = self._states.setdefault(vm, VmState(record, requested_s))
            if state.done_s is None or requested_s > state.done_s:
                _apply_record(state, record, requested_s)
                if state.has_kept_its_worker:
                    kept.append(record.worker)
            self._clear_finished_goal(state, requested_s)
        for vm in self._states.keys() - listed.keys():
            del self._states[vm]
        return kept

    def set_goal(self, state: VmState, goal: VmGoal, now_s: float) -> None:
        """Plan work on a VM."""
        state.goal = goal
        state.goal_set_s = now_s
        state.retry_s = now_s
        state.is_awaiting_answer = False

    def clear_goal(self, state: VmState) -> None:
        """Remove the planned work of a VM."""
        state.goal = None
        state.sent_s = None
        state.done_s = None
        state.emptied_s = None

    def record_sent(self, state: VmState, now_s: float) -> None:
        """Record that the order is being sent."""
        if state.sent_s is None:
            state.sent_s = now_s
            state.ended_worker = state.record.worker
        state.called_s = now_s
        state.is_awaiting_answer = True

    def on_order_outcome(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> VmState | None:
        """Apply the outcome of an order; return the VM if the order was carried out."""
        state = self._states.get(order.vm)
        if state is None or state.goal != order.goal:
            return None
        state.is_awaiting_answer = False
        state.answered_s = now_s
        state.retry_s = now_s + ORDER_RETRY_S
        if outcome is VmOrderOutcome.DONE:
            state.done_s = now_s
            return state
        if outcome in (VmOrderOutcome.NOT_IN_WAVE, VmOrderOutcome.MALFORMED):
            self.clear_goal(state)
        return None

    def _clear_finished_goal(self, state: VmState, requested_s: float) -> None:
        """Clear the goal once the list shows the VM up again after the work."""
        if state.done_s is None or state.goal is None:
            return
        downtime_ms = self._tuning.upkeep_ms
        if state.goal.work is VmWork.MOVE:
            downtime_ms = self._tuning.move_ms
        is_over = requested_s - state.done_s > downtime_ms / 1000
        if is_over and state.is_listed_up:
            self.clear_goal(state)


def _apply_record(state: VmState, record: VmRecord, requested_s: float) -> None:
    listed = (state.record.worker, state.record.condition)
    if (record.worker, record.condition) != listed:
        state.listed_s = requested_s
    state.record = record
