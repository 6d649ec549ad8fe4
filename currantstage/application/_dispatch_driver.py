"""Carry out the dispatcher's effects on the event loop."""

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

AdmissionResult: TypeAlias = Assignment | Refusal


class DispatchDriver:
    """Lets requests await their start, and runs the dispatcher's timers.

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
        self._pending_starts: dict[RequestId, asyncio.Future[AdmissionResult]] = {}
        self._slots_changed = asyncio.Event()
        metrics.observe_load(
            lambda: dispatcher.waiting_count, lambda: dispatcher.running_count
        )

    async def submit(
        self, request_id: RequestId, submission: Submission
    ) -> AdmissionResult:
        """Wait until a new request gets a slot; return the slot or the refusal."""
        now_s = self._clock.now_s()
        effects = self._dispatcher.submit(request_id, submission, now_s)
        return await self._wait_for_start(request_id, effects)

    async def resubmit(self, request: WaitingRequest) -> AdmissionResult:
        """Wait until a request gets a slot for another attempt; return the slot."""
        effects = self._dispatcher.resubmit(request, self._clock.now_s())
        return await self._wait_for_start(request.request_id, effects)

    def finish(self, assignment: Assignment, is_outcome_known: bool) -> None:
        """Release what `assignment` holds once its job can no longer be running."""
        now_s = self._clock.now_s()
        self._apply(self._dispatcher.finish(assignment, is_outcome_known, now_s))

    def start_waiting(self) -> None:
        """Start waiting requests after a change of capacity, limits or the fleet."""
        self._apply(self._dispatcher.start_waiting(self._clock.now_s()))

    def running_slots(self) -> Mapping[QueueId, Mapping[TeamId, float]]:
        """Return the slots held by each team, weighted by job size, per queue."""
        return self._dispatcher.running_slots()

    def team_loads(self) -> tuple[QueueLoad, ...]:
        """Return the running slots and waiting requests of each team, per queue."""
        return self._dispatcher.team_loads()

    def set_leaving(self, vms: Iterable[VmId]) -> None:
        """Stop assigning requests to exactly `vms`; their running requests finish."""
        self._apply(self._dispatcher.set_leaving(vms, self._clock.now_s()))

    def held_requests(self, vm: VmId) -> int:
        """Return how many requests hold a slot of `vm`, unknown outcomes included."""
        return self._dispatcher.held_requests(vm)

    def demand_slots(self) -> dict[QueueId, int]:
        """Return the number of running and waiting requests of each non-empty queue."""
        return self._dispatcher.demand_slots()

    def stop_admission(self) -> None:
        """Refuse new and waiting requests from now on."""
        self._apply(self._dispatcher.stop_admission())

    async def drain(self) -> None:
        """Wait until no request holds a slot."""
        while self._dispatcher.running_count:
            self._slots_changed.clear()
            await self._slots_changed.wait()

    async def _wait_for_start(
        self, request_id: RequestId, effects: list[DispatchEffect]
    ) -> AdmissionResult:
        until_s = self._apply(effects, request_id)
        if until_s is None:
            return self._pending_starts.pop(request_id).result()
        waiter = self._pending_starts[request_id]
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
            self._pending_starts.pop(request_id, None)

    def _apply(
        self, effects: list[DispatchEffect], awaited: RequestId | None = None
    ) -> float | None:
        """Carry out `effects`; return the deadline of `awaited` if it has to wait.

        If `awaited` is given, it has an entry in the pending starts afterwards.
        """
        until_s: float | None = None
        if awaited is not None:
            self._pending_starts[awaited] = asyncio.get_running_loop().create_future()
        for effect in effects:
            match effect:
                case Start(request_id, assignment):
                    self._pending_starts[request_id].set_result(assignment)
                case Refuse(request_id, refusal):
                    self._pending_starts[request_id].set_result(refusal)
                case Wait():
                    until_s = effect.until_s
                case ReleaseAt(assignment, at_s):
                    asyncio.get_running_loop().call_later(
                        at_s - self._clock.now_s(), self._release, assignment
                    )
        self._slots_changed.set()
        return until_s

    def _release(self, assignment: Assignment) -> None:
        self._apply(self._dispatcher.release(assignment, self._clock.now_s()))

    def _withdraw(self, request_id: RequestId, reason: RefusalReason) -> None:
        self._apply(self._dispatcher.withdraw(request_id, reason))

    def _abandon(
        self, request_id: RequestId, waiter: asyncio.Future[AdmissionResult]
    ) -> None:
        """Withdraw a request whose caller disconnected, or release its unused slot."""
        if not waiter.done():
            self._withdraw(request_id, RefusalReason.CANCELLED)
        admitted = waiter.result()
        if isinstance(admitted, Assignment):
            self.finish(admitted, is_outcome_known=True)
