"""Carry out the dispatcher's effects on the daemon's loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

from currantstage.coordination.requests import (
    Assignment,
    Refusal,
    RefusalReason,
    Refuse,
    ReleaseAt,
    Start,
    Wait,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.application._metrics import DaemonMetrics
    from currantstage.coordination.limits import QueueLoad
    from currantstage.coordination.requests import (
        DispatchEffect,
        Dispatcher,
        Submission,
        WaitingRequest,
    )
    from currantstage.state import Clock, QueueId, RequestId, TeamId, VmId

Admitted: TypeAlias = Assignment | Refusal


class DispatchDriver:
    """Lets requests await their start, and keeps the dispatcher's timers.

    Parameters
    ----------
    dispatcher : Dispatcher
    metrics : DaemonMetrics
    clock : Clock
    """

    def __init__(
        self, dispatcher: Dispatcher, metrics: DaemonMetrics, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._waiters: dict[RequestId, asyncio.Future[Admitted]] = {}
        self._settled = asyncio.Event()
        metrics.observe_load(
            lambda: dispatcher.waiting_count, lambda: dispatcher.running_count
        )

    async def enter(self, request_id: RequestId, submission: Submission) -> Admitted:
        """Return the slot that a new request gets, or why it is not run."""
        now_s = self._clock.now_s()
        effects = self._dispatcher.submit(request_id, submission, now_s)
        return await self._await_start(request_id, effects)

    async def reenter(self, request: WaitingRequest) -> Admitted:
        """Return the slot that a request gets for a further attempt."""
        effects = self._dispatcher.resubmit(request, self._clock.now_s())
        return await self._await_start(request.request_id, effects)

    def finish(self, assignment: Assignment, is_outcome_known: bool) -> None:
        """Give back what `assignment` holds, once that is safe."""
        now_s = self._clock.now_s()
        self._apply(self._dispatcher.finish(assignment, is_outcome_known, now_s))

    def start_waiting(self) -> None:
        """Start what can start, after capacity, limits or the fleet have changed."""
        self._apply(self._dispatcher.start_waiting(self._clock.now_s()))

    def running_slots(self) -> Mapping[QueueId, Mapping[TeamId, float]]:
        """Return the slots that each team holds now, weighted by size, by queue."""
        return self._dispatcher.running_slots()

    def team_loads(self) -> tuple[QueueLoad, ...]:
        """Return what each team runs and waits for, by queue."""
        return self._dispatcher.team_loads()

    def set_leaving(self, vms: Iterable[VmId]) -> None:
        """Give nothing new to the servers `vms`."""
        self._apply(self._dispatcher.set_leaving(vms, self._clock.now_s()))

    def held_requests(self, vm: VmId) -> int:
        """Return the requests that hold a slot of `vm`, those in doubt included."""
        return self._dispatcher.held_requests(vm)

    def demand_slots(self) -> dict[QueueId, int]:
        """Return the running and waiting requests of each queue that has any."""
        return self._dispatcher.demand_slots()

    def stop_admission(self) -> None:
        """Refuse new and waiting requests from now on."""
        self._apply(self._dispatcher.stop_admission())

    async def drain(self) -> None:
        """Wait until no slot is held any more."""
        while self._dispatcher.running_count:
            self._settled.clear()
            await self._settled.wait()

    async def _await_start(
        self, request_id: RequestId, effects: list[DispatchEffect]
    ) -> Admitted:
        until_s = self._apply(effects, request_id)
        if until_s is None:
            return self._waiters.pop(request_id).result()
        waiter = self._waiters[request_id]
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            until_s - self._clock.now_s(),
            self._withdraw,
            request_id,
            RefusalReason.DEADLINE_PASSED,
        )
        try:
            return await asyncio.shield(waiter)
        except asyncio.CancelledError:
            self._abandon(request_id, waiter)
            raise
        finally:
            timer.cancel()
            self._waiters.pop(request_id, None)

    def _apply(
        self, effects: list[DispatchEffect], own: RequestId | None = None
    ) -> float | None:
        """Carry out `effects`; return until when the request `own` waits, if it does.

        The request's waiter exists afterwards.
        """
        until_s: float | None = None
        if own is not None:
            self._waiters[own] = asyncio.get_running_loop().create_future()
        for effect in effects:
            match effect:
                case Start(request_id, assignment):
                    self._waiters[request_id].set_result(assignment)
                case Refuse(request_id, refusal):
                    self._waiters[request_id].set_result(refusal)
                case Wait():
                    until_s = effect.until_s
                case ReleaseAt(assignment, at_s):
                    asyncio.get_running_loop().call_later(
                        at_s - self._clock.now_s(), self._release, assignment
                    )
        self._settled.set()
        return until_s

    def _release(self, assignment: Assignment) -> None:
        self._apply(self._dispatcher.release(assignment, self._clock.now_s()))

    def _withdraw(self, request_id: RequestId, reason: RefusalReason) -> None:
        self._apply(self._dispatcher.withdraw(request_id, reason))

    def _abandon(self, request_id: RequestId, waiter: asyncio.Future[Admitted]) -> None:
        """Leave the line, or give the slot back unused, since the caller has gone."""
        if not waiter.done():
            self._withdraw(request_id, RefusalReason.CANCELLED)
        admitted = waiter.result()
        if isinstance(admitted, Assignment):
            self.finish(admitted, is_outcome_known=True)
