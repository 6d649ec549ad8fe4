"""Selection of runs to stop, so that a long-running task has room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._room_forecast import STOP_S
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._step_graph import estimated_run_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._placement import StepNeeds
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import Resources, StepKey

#: Weight of an accelerator in the work that a stop loses, in cores.
ACCELERATOR_CORES = 8


@dataclass(frozen=True, slots=True)
class Preemption:
    """Runs that are to be stopped on one worker, and the work that this loses."""

    worker: WorkerState
    runs: tuple[Run, ...]
    lost_core_s: float


@dataclass(frozen=True, slots=True)
class PreemptedRun:
    """A run that is stopped, and the step whose task gets its room."""

    run: Run
    step: StepKey


def cheapest_preemption(
    needs: StepNeeds,
    workers: Iterable[WorkerState],
    now_s: float,
    *,
    with_gangs: bool = False,
) -> Preemption | None:
    """Return the runs whose stop makes room for one more task of a step.

    Of all workers that could have room, it is the one where the least work is lost;
    None if there is no such worker. Members of gangs are only stopped `with_gangs`, all
    of a gang together.
    """
    options = (_preemption(needs, each, now_s, with_gangs) for each in workers)
    found = [each for each in options if each is not None]
    return min(found, key=lambda each: each.lost_core_s, default=None)


def lost_core_s(run: Run, now_s: float) -> float:
    """Return the work that the stop of a run would lose, in core-seconds.

    The members of a gang lose their work together.
    """
    return sum(_own_lost_core_s(each, now_s) for each in _stopped_with(run))


def _own_lost_core_s(run: Run, now_s: float) -> float:
    step = run.step
    if run.is_stopping or step.is_checkpointing:
        return 0.0
    worked_s = now_s - run.placed_s
    if run.is_adopted:
        worked_s = max(worked_s, estimated_run_s(step) * run.percent / 100)
    resources = step.resources
    cores = resources.cpu_millicores / 1000
    return worked_s * (cores + resources.accelerators * ACCELERATOR_CORES)


def _preemption(
    needs: StepNeeds, worker: WorkerState, now_s: float, with_gangs: bool
) -> Preemption | None:
    runs_here = needs.runs_on(worker)
    if needs.obstacle_with(worker, worker.entry.capacity, runs_here) is not None:
        return None
    free = worker.free
    stopped: list[Run] = []
    for run in sorted(worker.runs.values(), key=lambda run: lost_core_s(run, now_s)):
        if needs.resources.fits(free):
            break
        makes_room = _makes_room(run, now_s, with_gangs)
        if makes_room and _eases(run.reserved_resources, needs, free):
            free = free.plus(run.reserved_resources)
            stopped.append(run)
    if not stopped or not needs.resources.fits(free):
        return None
    for run in reversed(stopped.copy()):
        without = free.minus(run.reserved_resources)
        if needs.resources.fits(without):
            free = without
            stopped.remove(run)
    # A dict keeps their order. Those that are being stopped make room by themselves.
    ordered = dict.fromkeys(
        each
        for run in stopped
        if not run.is_stopping
        for each in _stopped_with(run)
        if not each.is_stopping
    )
    if not ordered:
        return None
    lost = sum(_own_lost_core_s(run, now_s) for run in ordered)
    return Preemption(worker, tuple(ordered), lost)


def is_preemptible(run: Run) -> bool:
    """Return whether a run may be stopped for a long-running task by itself.

    The stop of a member of a gang costs the work of all of them.
    """
    return _is_stoppable(run) and not run.step.is_gang


def _is_stoppable(run: Run) -> bool:
    return (
        run.phase is RunPhase.RUNNING
        and not run.is_stopping
        and not run.step.is_long_running
        and not run.is_trial
    )


def _stopped_with(run: Run) -> list[Run]:
    """Return the runs that end if `run` is stopped."""
    return run.task.step.runs() if run.step.is_gang else [run]


def _makes_room(run: Run, now_s: float, with_gangs: bool) -> bool:
    """Return whether a run can be stopped, or has just been."""
    if run.is_stopping:
        return now_s - run.stop_ordered_s <= STOP_S
    return _is_stoppable(run) if with_gangs else is_preemptible(run)


def _eases(amount: Resources, needs: StepNeeds, free: Resources) -> bool:
    """Return whether `amount` has any of what is lacking beside `free`."""
    lacking = needs.resources.minus(free)
    return (
        (lacking.cpu_millicores > 0 and amount.cpu_millicores > 0)
        or (lacking.memory_mb > 0 and amount.memory_mb > 0)
        or (lacking.accelerators > 0 and amount.accelerators > 0)
    )
