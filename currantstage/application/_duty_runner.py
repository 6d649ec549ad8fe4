"""Run the duties whose leases this entry VM holds."""

from __future__ import annotations

from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination import CoordinationError
from currantstage.coordination.store import RENEWALS_PER_LEASE
from currantstage.util import PeriodicTask

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.store import Duty, DutyLeases
    from currantstage.state import Clock


class DutyRunner:
    """Acquires and renews the leases of duties, and runs the duties that are held.

    Parameters
    ----------
    runner : ProcedureRunner
    leases : DutyLeases
    clock : Clock
    duties : sequence of Duty
    lease_s : float
        Duration of the leases, in seconds.
    """

    def __init__(
        self,
        runner: ProcedureRunner,
        leases: DutyLeases,
        clock: Clock,
        duties: Sequence[Duty],
        lease_s: float,
    ) -> None:
        self._runner = runner
        self._leases = leases
        self._clock = clock
        self._duties = tuple(duties)
        if len({duty.kind for duty in self._duties}) < len(self._duties):
            raise ValueError("duty kinds must be unique: each kind has one lease")
        self._lease_interval_s = lease_s / RENEWALS_PER_LEASE
        self._resources = AsyncExitStack()

    async def start(self) -> None:
        """Start to acquire leases and to run the duties that are held."""
        tasks = [
            PeriodicTask(
                "maintain-leases", self._maintain_leases, self._lease_interval_s
            )
        ]
        tasks += [
            PeriodicTask(duty.kind.value, partial(self._step, duty), duty.interval_s)
            for duty in self._duties
        ]
        for task in tasks:
            self._resources.push_async_callback(task.close)
            await task.start()

    async def close(self) -> None:
        """Stop, and release the leases, so that others can take them at once."""
        await self._resources.aclose()
        try:
            await self._runner.run(self._leases.release())
        except CoordinationError as error:
            log_message("currantstage:lease-release-failed", reason=str(error))

    async def _maintain_leases(self) -> None:
        await self._runner.run(
            self._leases.renew_or_acquire([duty.kind for duty in self._duties])
        )

    async def _step(self, duty: Duty) -> None:
        grant = self._leases.grant(duty.kind, self._clock.now_s())
        if grant is not None:
            await self._runner.run(duty.step(grant))
