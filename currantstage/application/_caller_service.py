"""Serve callers' requests: admission, the backend server's answer, metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import start_action
from returns.result import Failure

from currantstage.coordination import Answer, conclude
from currantstage.protocol import to_caller_answer

if TYPE_CHECKING:
    from currantstage.application._metrics import DaemonMetrics
    from currantstage.coordination import Assignment, Dispatcher, RequestEnd
    from currantstage.protocol import CallerAnswer, CallerRequest
    from currantstage.state import Clock
    from currantstage.transport import BackendClient

#: Label of requests that show no key.
NO_TEAM = "-"


class QueueService:
    """Implements `CallerService`.

    Parameters
    ----------
    dispatcher : Dispatcher
    backends : BackendClient
    metrics : DaemonMetrics
    clock : Clock
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        backends: BackendClient,
        metrics: DaemonMetrics,
        clock: Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._backends = backends
        self._metrics = metrics
        self._clock = clock
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to `request`."""
        self._active += 1
        self._idle.clear()
        try:
            return await self._serve(request)
        finally:
            self._active -= 1
            if not self._active:
                self._idle.set()

    async def drain(self, timeout_s: float) -> bool:
        """Wait for the running requests; return False when some outlast the bound."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def _serve(self, request: CallerRequest) -> CallerAnswer:
        started_s = self._clock.now_s()
        with start_action(
            action_type="currantstage:request", queue=request.queue
        ) as action:
            admitted = self._dispatcher.admit(request.queue, request.presented_key)
            team = NO_TEAM
            end: RequestEnd
            if isinstance(admitted, Failure):
                end = admitted.failure()
            else:
                assignment = admitted.unwrap()
                team = assignment.team or NO_TEAM
                end = await self._run(request, assignment)
            answer = to_caller_answer(end)
            action.add_success_fields(outcome=answer.outcome.value, team=team)
        duration_s = self._clock.now_s() - started_s
        self._metrics.count_request(
            request.queue, team, answer.outcome.value, duration_s
        )
        return answer

    async def _run(self, request: CallerRequest, assignment: Assignment) -> RequestEnd:
        try:
            reply = await self._backends.send(
                assignment.vm.address,
                request.queue,
                request.content_type,
                request.body,
                assignment.timeout_s,
            )
        finally:
            self._dispatcher.finish(assignment)
        return reply if isinstance(reply, Answer) else conclude(reply)
