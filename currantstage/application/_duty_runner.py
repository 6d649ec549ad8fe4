"""Carry out the duties whose leases this entry VM holds."""

from __future__ import annotations

from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination import CoordinationError
from currantstage.coordination.store import RENEWALS_PER_LEASE
from currantstage.util import DutyLoop

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.store import Duty, DutyLeases
    from currantstage.state import Clock


class DutyRunner:
    """Tends the leases of the registered duties and steps those that are held.

    Parameters
    ----------
    runner : ProcedureRunner
    leases : DutyLeases
    clock : Clock
    duties : sequence of Duty
    lease_s : float
        Length of the leases, in seconds.
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
            raise ValueError("two duties under one lease")
        self._tend_interval_s = lease_s / RENEWALS_PER_LEASE
        self._resources = AsyncExitStack()

    async def start(self) -> None:
        """Start to compete for the leases."""
        loops = [DutyLoop("tend-leases", self._tend, self._tend_interval_s)]
        loops += [
            DutyLoop(duty.kind.value, partial(self._step, duty), duty.interval_s)
            for duty in self._duties
        ]
        for loop in loops:
            self._resources.push_async_callback(loop.close)
            await loop.start()

    async def close(self) -> None:
        """Stop, and resign the leases so that others take them at once."""
        await self._resources.aclose()
        try:
            await self._runner.run(self._leases.release())
        except CoordinationError as error:
            log_message("currantstage:resign-failed", reason=str(error))

    async def _tend(self) -> None:
        await self._runner.run(
            self._leases.renew_or_acquire([duty.kind for duty in self._duties])
        )

    async def _step(self, duty: Duty) -> None:
        grant = self._leases.grant(duty.kind, self._clock.now_s())
        if grant is not None:
            await self._runner.run(duty.step(grant))
