"""In-memory service that advises which workers may run a step."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.state.jobs import Advice, Ticket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state.jobs import StepKey, WorkerId

#: Response time of the service, in seconds.
ANSWER_DELAY_S = 0.05
#: Validity of a ticket, in milliseconds.
TICKET_VALIDITY_MS = 900


class SimulatedAdvice:
    """Implements `AdviceSource`."""

    def __init__(self) -> None:
        #: Workers that may run steps; None allows all.
        self.allowed: set[WorkerId] | None = None
        #: Number of requests whose answers are lost next.
        self.lost_answers = 0

    async def advise(
        self, step: StepKey, workers: Sequence[WorkerId], timeout_s: float
    ) -> Advice | None:
        """Return a ticket for each of `workers` that may run `step`."""
        if self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(ANSWER_DELAY_S)
        eligible = [
            each for each in workers if self.allowed is None or each in self.allowed
        ]
        return Advice(
            tuple(Ticket(each, f"{step.job}@{each}") for each in eligible),
            TICKET_VALIDITY_MS,
        )
