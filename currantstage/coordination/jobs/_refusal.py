"""What a refused start order says about its worker and its task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._worker_pause import PauseGround
from currantstage.state.jobs import OrderOutcome

if TYPE_CHECKING:
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._worker_state import WorkerState

#: How long no task is placed on a worker that refused one as unhealthy, in seconds.
UNHEALTHY_PAUSE_S = 1.0
#: How long no task is placed on a worker that refused one for lack of capacity, in
#: seconds.
NO_CAPACITY_PAUSE_S = 0.3
#: How long a task waits after its order was rejected as malformed, in seconds.
MALFORMED_PAUSE_S = 1.0


def record_refusal(
    worker_state: WorkerState, run: Run, outcome: OrderOutcome, now_s: float
) -> None:
    """Record the ground of a refusal, so that the start is not repeated at once.

    Parameters
    ----------
    worker_state : WorkerState
        The worker that refused the start, or that the order didn't reach.
    run : Run
    outcome : OrderOutcome
    now_s : float
    """
    if outcome is OrderOutcome.UNHEALTHY:
        worker_state.pauses.begin(PauseGround.UNHEALTHY, now_s, UNHEALTHY_PAUSE_S)
    elif outcome is OrderOutcome.NO_CAPACITY:
        worker_state.pauses.begin(PauseGround.NO_CAPACITY, now_s, NO_CAPACITY_PAUSE_S)
    elif outcome is OrderOutcome.MALFORMED:
        run.task.not_before_s = now_s + MALFORMED_PAUSE_S
    elif outcome is OrderOutcome.TOO_LATE:
        worker_state.is_synced = False
    elif outcome is OrderOutcome.NO_TICKET:
        run.task.step.tickets.pop(run.worker, None)
        run.task.step.advised_until_s = now_s
    elif outcome is OrderOutcome.UNSENT:
        worker_state.missed_renewals += 1
