"""Comparison of the tasks that a worker lists with the runs that are known on it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.state.jobs import EndedTask, StopOrder

if TYPE_CHECKING:
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import RenewalOrder, RenewalReply, RunningTask


@dataclass(slots=True)
class RunChanges:
    """Changes of runs that follow from a worker's reply.

    Parameters
    ----------
    ended : list of EndedTask
        Ends that had not been processed.
    lost : list of Run
        Runs that have certainly ended, but whose end is not listed.
    stops : list of StopOrder
        Stop orders for runs that the scheduler doesn't know.
    running : list of Run
        Runs that the worker lists as running.
    """

    ended: list[EndedTask] = field(default_factory=list)
    lost: list[Run] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)


def compare_lists(
    state: WorkerState,
    order: RenewalOrder,
    reply: RenewalReply,
    settled_clock_ms: int,
    sent_s: float,
    listed_s: float,
    now_s: float,
) -> RunChanges:
    """Record what a worker lists; return the changes that follow from it.

    Parameters
    ----------
    state : WorkerState
    order : RenewalOrder
    reply : RenewalReply
        The reply to `order`, with the lists of running and ended tasks.
    settled_clock_ms : int
        When, by the worker's clock, the stops that earlier schedulers have ordered are
        over, if this is the worker's first list. With the first list, the worker
        rejects their stop orders; a run may still be ending by one that it has
        accepted before.
    sent_s : float
        When the order was sent.
    listed_s : float
        When the worker made the lists.
    now_s : float

    Returns
    -------
    RunChanges
        The lost runs are not yet removed from `state`.
    """
    changes = RunChanges()
    present = set()
    for listed in reply.running:
        run = state.runs.get(listed.task)
        if run is None or run.number != listed.run:
            changes.stops.append(
                StopOrder(state.entry, listed.task, listed.run, state.fence)
            )
            continue
        present.add(listed.task)
        if run.is_adopted and not run.is_listed:
            run.settled_clock_ms = settled_clock_ms
        run.listed_clock_ms = reply.clock_ms
        _record_running(run, listed, listed_s, now_s)
        changes.running.append(run)
    state.has_orphans = bool(changes.stops)
    for ended in reply.ended:
        run = state.runs.get(ended.task)
        if run is not None and run.number == ended.run:
            present.add(ended.task)
    changes.ended = take_new_ends(state, reply)
    if reply.has_more_ends:
        # A run that is in neither list may have ended.
        return changes
    changes.lost = [
        run
        for key, run in state.runs.items()
        if key not in present and _has_certainly_ended(run, order, sent_s)
    ]
    return changes


def take_new_ends(state: WorkerState, reply: RenewalReply) -> list[EndedTask]:
    """Return the ends that are new, and count them as processed."""
    if reply.born_ms != state.entry.born_ms:
        return []
    new_ends = [each for each in reply.ended if each.number > state.processed_upto]
    state.record_ends(new_ends)
    return new_ends


def _has_certainly_ended(run: Run, order: RenewalOrder, sent_s: float) -> bool:
    """Return whether a run that is missing from the lists has certainly ended."""
    if run.phase is RunPhase.RUNNING:
        return run.accepted_s < sent_s
    return run.phase is RunPhase.IN_DOUBT and run.fence < order.fence


def _record_running(
    run: Run, listed: RunningTask, listed_s: float, now_s: float
) -> None:
    if run.phase is not RunPhase.RUNNING:
        run.phase = RunPhase.RUNNING
        run.accepted_s = now_s
    if not run.is_listed or listed.percent != run.percent:
        run.percent = listed.percent
        run.progressed_clock_ms = run.listed_clock_ms
    run.is_listed = True
    run.loss = None
    run.listed_s = listed_s
    run.gauge = listed.gauge
    if listed.checkpoint:
        run.task.record_checkpoint(listed.checkpoint, now_s)
