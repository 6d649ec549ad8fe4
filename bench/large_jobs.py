"""Time that one turn of the scheduler takes for a large job."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import click

from bench.scheduling import ENDS_PER_TURN, PARTS, SteadyBacklog
from currantstage.standin.jobs import POOLS
from currantstage.state import QueueId, TeamId
from currantstage.state.jobs import JobId, Resources, Schedule, Step, Submission

if TYPE_CHECKING:
    from typing import Any

#: Number of workers, each with room for four tasks that are running.
WORKERS = 30
_RUNNING_TASKS = 4 * WORKERS
_MS_PER_S = 1000


@click.command()
@click.option("--turns", default=40, show_default=True)
def main(turns: int) -> None:
    """Print how long accepting a job and the longest turn after that take."""
    print("| job | accept, ms | longest turn, ms |")
    print("|---|---|---|")
    for name, job in _shapes().items():
        accept_ms, longest_ms = _measure(job, turns)
        print(f"| {name} | {accept_ms:.1f} | {longest_ms:.1f} |")


def _measure(job: Submission, turns: int) -> tuple[float, float]:
    backlog = SteadyBacklog(WORKERS, ENDS_PER_TURN - _RUNNING_TASKS)
    started_s = time.perf_counter()
    backlog.submit(job)
    accept_ms = (time.perf_counter() - started_s) * _MS_PER_S
    longest_ms = 0.0
    for _ in range(turns):
        cost_ms = backlog.run(1, lambda: time.perf_counter() * _MS_PER_S)
        turn_ms = sum(cost_ms[part] for part in PARTS) * ENDS_PER_TURN
        longest_ms = max(longest_ms, turn_ms)
    return accept_ms, longest_ms


def _shapes() -> dict[str, Submission]:
    often = Schedule(count=20_000, start_unix_ms=0, period_ms=1000)
    return {
        "40 layers of 12 steps": _job(_layers(40, 12)),
        "100 layers of 40 steps": _job(_layers(100, 40)),
        "chain of 5,000 steps": _job(_layers(5000, 1)),
        "1,000 steps side by side": _job(_layers(1, 1000)),
        "5,000 steps side by side": _job(_layers(1, 5000)),
        "1,200 tasks in one step": _job((_step(task_count=1200),)),
        "20,000 tasks in one step": _job((_step(task_count=20_000),)),
        "100,000 tasks in one step": _job((_step(task_count=100_000),)),
        "20,000 occurrences, all due": _job((_step(),), schedule=often),
    }


def _layers(layers: int, width: int) -> tuple[Step, ...]:
    """Return steps in layers, each after all steps of the layer before."""
    return tuple(
        _step(after=tuple(range((layer - 1) * width, layer * width)) if layer else ())
        for layer in range(layers)
        for _ in range(width)
    )


def _step(task_count: int = 1, **options: Any) -> Step:
    return Step(
        task_count=task_count,
        resources=Resources(100, 10),
        estimated_run_ms=500,
        **options,
    )


def _job(steps: tuple[Step, ...], **options: Any) -> Submission:
    return Submission(
        job=JobId("f" * 16),
        queue=QueueId(f"q-{POOLS[0]}"),
        pool=POOLS[0],
        team=TeamId("east"),
        spec="work",
        steps=steps,
        **options,
    )


if __name__ == "__main__":
    main()
