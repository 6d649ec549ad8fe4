"""Workers, their incarnations, and the runs that end with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from currantstage.coordination.jobs._reply_comparison import (
    RunChanges,
    compare_lists,
    take_new_ends,
)
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._run_loss import (
    LossCause,
    record_loss,
    record_planned_end,
    sent_runs,
)
from currantstage.coordination.jobs._worker_clock import WorkerClock
from currantstage.coordination.jobs._worker_room import RoomIndex
from currantstage.coordination.jobs._worker_state import (
    SILENT_AFTER_MISSED_RENEWALS,
    WorkerState,
    first_fence,
)
from currantstage.state import DataCentreId, PoolId
from currantstage.state.jobs import (
    NO_RESOURCES,
    EndNumber,
    OrderOutcome,
    WorkerEntry,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._inherited_leases import InheritedLeases
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state.jobs import (
        BornMs,
        RenewalOrder,
        RenewalReply,
        Term,
        WorkerId,
    )

#: How long a worker that is no longer listed is still contacted, in seconds.
UNLISTED_RETENTION_S = 30.0


class WorkerTable:
    """Workers by id.

    Parameters
    ----------
    term : Term
    tuning : SchedulerTuning
    """

    def __init__(self, term: Term, tuning: SchedulerTuning) -> None:
        self._term = term
        self._tuning = tuning
        self._states: dict[WorkerId, WorkerState] = {}
        self._unlisted_since_s: dict[WorkerId, float] = {}
        self._late_ends: list[Run] = []
        #: Whether a worker that is added may be granted a lease at once.
        self.may_be_renewed = True
        self._inherited: InheritedLeases | None = None
        #: Workers of each pool by their free resources.
        self.room = RoomIndex()

    def __contains__(self, worker: object) -> bool:
        return worker in self._states

    def get(self, worker: WorkerId) -> WorkerState | None:
        """Return the worker of that id."""
        return self._states.get(worker)

    def states(self) -> Iterable[WorkerState]:
        """Return all workers."""
        return self._states.values()

    def in_pool(self, pool: PoolId) -> list[WorkerState]:
        """Return the workers of a pool."""
        return [each for each in self._states.values() if each.entry.pool == pool]

    def update(self, entries: Iterable[WorkerEntry], now_s: float) -> list[Run]:
        """Apply the list of workers; return the runs that ended with their worker."""
        listed = {entry.worker: entry for entry in entries}
        self._note_replaced(listed.values())
        lost: list[Run] = []
        for worker, entry in listed.items():
            state = self._states.get(worker)
            if state is None:
                self._add(entry)
            else:
                lost.extend(self._apply_entry(state, entry, now_s))
        for worker, state in list(self._states.items()):
            state.is_listed = worker in listed
            self._discard_if_unlisted(worker, state, now_s)
        return lost

    def inherit(self, leases: InheritedLeases) -> None:
        """Allow for orders that earlier schedulers have sent to any worker."""
        self._inherited = leases
        for state in self._states.values():
            state.lease.inherit(leases, state.entry.worker)

    def adopt(self, run: Run, leases: InheritedLeases) -> None:
        """Record a run that an earlier scheduler placed.

        A worker that has restarted since may run it as well, since the start order may
        have reached the new incarnation; its lists will show. Which of two incarnations
        is the later one is not concluded from their times of birth, as the time of day
        may have been set back.
        """
        born_ms = run.task.born_ms
        state = self._states.get(run.worker)
        if state is None:
            # Its entry may have expired while the worker, whose lease has not, runs on.
            state = self._add(_unlisted_entry(run.worker, born_ms))
            state.is_listed = False
        state.lease.inherit(leases, run.worker)
        if not state.lease.answered_born_ms:
            # Its placement shows that this incarnation had answered.
            state.lease.answered_born_ms = born_ms
        late_s = self._tuning.max_order_delay_ms / 1000
        orders_end_s = leases.late_orders_end_s(run.worker)
        state.lease.expect_late_orders(orders_end_s + late_s)
        if born_ms != state.entry.born_ms:
            state.lease.on_restart(self._tuning)
        state.add(run)

    def on_renewal_reply(
        self, order: RenewalOrder, reply: RenewalReply, sent_s: float, now_s: float
    ) -> RunChanges:
        """Apply a worker's lists of running and ended tasks."""
        state = self._states.get(order.worker.worker)
        if state is None:
            return RunChanges()
        if order.until_ms is not None:
            state.lease.settle_grant()
        state.missed_renewals = 0
        if sent_s < state.newest_renewal_sent_s:
            # A newer reply has overtaken this one; only its ends are of use.
            return RunChanges(ended=take_new_ends(state, reply))
        state.newest_renewal_sent_s = sent_s
        if reply.born_ms != state.entry.born_ms:
            lost = self._begin_incarnation(state, reply.born_ms, now_s, is_reply=True)
            return RunChanges(lost=lost)
        if state.expired_runs:
            state.expired_runs.clear()
        listed_s = state.clock.record(reply.clock_ms, sent_s, now_s)
        if order.fence < state.fence and not state.is_synced:
            return RunChanges()
        state.answered_fence = max(state.answered_fence, order.fence)
        state.acknowledged_upto = max(state.acknowledged_upto, order.seen_upto)
        if not state.is_synced:
            state.record_synced(now_s, self._tuning)
        settled_clock_ms = reply.clock_ms + self._tuning.max_stop_ms
        changes = compare_lists(
            state, order, reply, settled_clock_ms, sent_s, listed_s, now_s
        )
        if changes.lost:
            record_loss(state, changes.lost, LossCause.NOT_LISTED)
            self._remove_all(state, changes.lost)
        return changes

    def on_renewal_failure(
        self, order: RenewalOrder, outcome: OrderOutcome, sent_s: float, now_s: float
    ) -> list[Run]:
        """Apply a failed renewal; return the runs that ended with their worker.

        Of several renewals that were under way at once, one counts as missed at most,
        and none if a later one has been answered.
        """
        state = self._states.get(order.worker.worker)
        if state is None:
            return []
        if order.until_ms is not None:
            state.lease.settle_grant(outcome, now_s)
        if outcome is OrderOutcome.OTHER_WORKER:
            return self.end_incarnation(state)
        if outcome is OrderOutcome.FENCED:
            # A reply all the same: the order had an older fence of this term, or a
            # later term has begun.
            return []
        if sent_s >= max(state.newest_renewal_sent_s, state.missed_s):
            state.missed_renewals += 1
            state.missed_s = now_s
        return []

    def release_expired_runs(self, now_s: float) -> list[Run]:
        """Release and return the runs whose lease has certainly expired."""
        lost: list[Run] = []
        for state in self._states.values():
            if state.is_responsive:
                continue
            ended = [
                run
                for run in sent_runs(state)
                if now_s > state.run_end_s(run, self._tuning)
            ]
            record_loss(state, ended, LossCause.LEASE_EXPIRED)
            state.expired_runs.extend(ended)
            lost.extend(self._remove_all(state, ended))
        return lost

    def take_late_ends(self) -> list[Run]:
        """Return the runs whose worker's process was found to have ended.

        They had been released before, when their lease had expired.
        """
        late_ends, self._late_ends = self._late_ends, []
        return late_ends

    def end_incarnation(self, state: WorkerState) -> list[Run]:
        """Record that a worker's process has ended; return the runs lost with it."""
        self._record_process_end(state)
        state.is_synced = False
        state.missed_renewals = SILENT_AFTER_MISSED_RENEWALS
        return self._remove_all(state, list(state.runs.values()))

    def end_without_vm(self, state: WorkerState, *, is_planned: bool) -> list[Run]:
        """Record that a worker's VM has it no more; return the runs lost with it.

        Its replies to earlier renewals, which may still come, don't count.
        """
        state.raise_fence()
        if is_planned:
            record_planned_end(state)
        return self.end_incarnation(state)

    def retire(self, state: WorkerState) -> list[Run]:
        """Record that a worker was ended; its entry may stay listed for a while."""
        state.is_retired = True
        return self.end_incarnation(state)

    def _add(self, entry: WorkerEntry) -> WorkerState:
        state = WorkerState(
            entry,
            first_fence(self._term),
            room_observer=self.room,
            may_be_renewed=self.may_be_renewed,
        )
        if self._inherited is not None:
            state.lease.inherit(self._inherited, entry.worker)
        self._states[entry.worker] = state
        self.room.on_room_changed(state)
        return state

    def _apply_entry(
        self, state: WorkerState, entry: WorkerEntry, now_s: float
    ) -> list[Run]:
        if entry == state.entry:
            return []
        if entry.born_ms < state.entry.born_ms:
            # The worker's own replies are newer than its entry.
            return []
        lost: list[Run] = []
        if entry.born_ms > state.entry.born_ms:
            lost = self._begin_incarnation(state, entry.born_ms, now_s, is_reply=False)
        state.entry = entry
        self.room.on_room_changed(state)
        return lost

    def _begin_incarnation(
        self, state: WorkerState, born_ms: BornMs, now_s: float, *, is_reply: bool
    ) -> list[Run]:
        """Reset the state of a worker that has restarted under its id.

        An entry, unlike a reply, may be of an incarnation before the one that has
        listed a run to an earlier scheduler.
        """
        ended_ms = {state.entry.born_ms}
        if is_reply:
            ended_ms.update(run.task.born_ms for run in state.runs.values())
        ended_ms.discard(born_ms)
        self._record_process_end(state)
        state.entry = _with_incarnation(state.entry, born_ms)
        state.is_retired = False
        state.raise_fence()
        state.is_synced = False
        state.lease.on_restart(self._tuning)
        state.clock = WorkerClock()
        state.processed_upto = EndNumber(0)
        state.seen_upto = EndNumber(0)
        state.acknowledged_upto = EndNumber(0)
        state.unstored_ends.clear()
        ended = []
        for run in state.runs.values():
            if run.was_listed:
                if run.task.born_ms in ended_ms:
                    ended.append(run)
            elif run.phase is not RunPhase.RUNNING:
                continue
            elif run.is_listed:
                ended.append(run)
            else:
                # Accepted, perhaps already by the new incarnation; its lists will show.
                run.put_in_doubt(now_s)
        return self._remove_all(state, ended)

    def _note_replaced(self, entries: Iterable[WorkerEntry]) -> None:
        """Record the workers whose address is listed for a later process.

        Their runs are still released only when their leases have expired, as the list
        may be wrong.
        """
        born_ms = {entry.address: entry.born_ms for entry in entries}
        for state in self._states.values():
            if born_ms.get(state.entry.address, 0) > state.entry.born_ms:
                self._record_process_end(state)

    def _record_process_end(self, state: WorkerState) -> None:
        """Record that a worker's process has ended, also for runs released before.

        A worker that has been cordoned since their release, as it was silent, has
        crashed all the same.
        """
        if not (state.is_retired or state.entry.is_draining):
            self._late_ends.extend(state.expired_runs)
        state.expired_runs.clear()
        record_loss(state, sent_runs(state), LossCause.WORKER_ENDED)

    def _remove_all(self, state: WorkerState, runs: list[Run]) -> list[Run]:
        for run in runs:
            state.remove(run)
        return runs

    def _discard_if_unlisted(
        self, worker: WorkerId, state: WorkerState, now_s: float
    ) -> None:
        if state.is_listed:
            self._unlisted_since_s.pop(worker, None)
            return
        since_s = self._unlisted_since_s.setdefault(worker, now_s)
        latest_order_s = state.lease.latest_order_s(now_s, self._tuning)
        if state.runs or latest_order_s > now_s:
            return
        if now_s - since_s > UNLISTED_RETENTION_S:
            del self._states[worker]
            del self._unlisted_since_s[worker]
            self.room.discard(worker)


def _unlisted_entry(worker: WorkerId, born_ms: BornMs) -> WorkerEntry:
    return WorkerEntry(
        worker=worker,
        pool=PoolId(""),
        address="",
        data_centre=DataCentreId(""),
        is_draining=False,
        capacity=NO_RESOURCES,
        labels=(),
        born_ms=born_ms,
    )


def _with_incarnation(entry: WorkerEntry, born_ms: BornMs) -> WorkerEntry:
    return msgspec.structs.replace(entry, born_ms=born_ms)
