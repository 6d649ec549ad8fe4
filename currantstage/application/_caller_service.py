"""Serve callers' requests: admission, attempts on backend servers, and the answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from eliot import start_action
from returns.result import Failure

from currantstage.coordination.requests import (
    NO_TEAM,
    Answer,
    Attempts,
    Finish,
    Refusal,
    RefusalReason,
    SendFailure,
    Uncertain,
    is_server_error,
)
from currantstage.protocol import to_caller_answer
from currantstage.state import QueueId, RequestId
from currantstage.transport import BackendCall

if TYPE_CHECKING:
    from returns.result import Result

    from currantstage.application._dispatch_driver import DispatchDriver
    from currantstage.application._metrics import DaemonMetrics
    from currantstage.application._server_monitor import ServerMonitor
    from currantstage.coordination.requests import Assignment, RequestEnd
    from currantstage.coordination.store import RetryBudget
    from currantstage.protocol import CallerAnswer, CallerRequest
    from currantstage.state import ClaimTaken, Clock, IncarnationId, Random, TeamId
    from currantstage.transport import BackendClient

#: Queue label in metrics for requests to an unknown queue.
NO_QUEUE = QueueId("-")
_QUEUE_UNKNOWN = Refusal(RefusalReason.QUEUE_UNKNOWN)


class EndObserver(Protocol):
    """Observes the end of each request."""

    def __call__(
        self, request: CallerRequest, team: TeamId, end: RequestEnd, duration_s: float
    ) -> None:
        """Handle the end of `request`; `team` is `NO_TEAM` if the team is unknown."""


class Claims(Protocol):
    """Ensures that a request with an idempotency key runs at most once."""

    async def take(
        self, request: CallerRequest, team: TeamId, key_text: str
    ) -> Result[ClaimTaken, RequestEnd]:
        """Return the claim under which `request` may run, or how the request ends."""

    def settle(self, claim: ClaimTaken, end: RequestEnd) -> None:
        """Record how the request under `claim` ended."""


class QueueService:
    """Implements `CallerService`.

    Parameters
    ----------
    driver : DispatchDriver
    backends : BackendClient
    monitor : ServerMonitor
    budget : RetryBudget
    metrics : DaemonMetrics
    clock : Clock
    random : Random
    incarnation : IncarnationId
        Prefix that makes the request ids of this process unique.
    """

    def __init__(
        self,
        driver: DispatchDriver,
        backends: BackendClient,
        monitor: ServerMonitor,
        budget: RetryBudget,
        metrics: DaemonMetrics,
        clock: Clock,
        random: Random,
        incarnation: IncarnationId,
    ) -> None:
        self._driver = driver
        self._backends = backends
        self._monitor = monitor
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._incarnation = incarnation
        self._last_number = 0
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._running_tasks: set[asyncio.Task[RequestEnd]] = set()
        self._observer: EndObserver | None = None
        self._claims: Claims | None = None

    def on_end(self, observer: EndObserver) -> None:
        """Call `observer` at the end of each request."""
        self._observer = observer

    def set_claims(self, claims: Claims) -> None:
        """Use `claims` for requests with idempotency keys."""
        self._claims = claims

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
        """Wait until no request is running; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
                await self._driver.drain()
        except TimeoutError:
            return False
        return True

    async def _serve(self, request: CallerRequest) -> CallerAnswer:
        started_s = self._clock.now_s()
        request_id = self._next_id()
        with start_action(
            action_type="currantstage:request", request=request_id, queue=request.queue
        ) as action:
            team, end = await self._admit_and_run(request_id, request)
            answer = to_caller_answer(end)
            action.add_success_fields(team=team, outcome=answer.outcome.value)
        duration_s = self._clock.now_s() - started_s
        queue = request.queue
        if end == _QUEUE_UNKNOWN:
            # Names that callers choose would create an unbounded number of time series.
            queue = NO_QUEUE
        self._metrics.count_request(queue, team, answer.outcome.value, duration_s)
        if isinstance(end, Refusal):
            self._metrics.count_refusal(queue, end.reason)
        if self._observer is not None:
            self._observer(request, team, end, duration_s)
        return answer

    async def _admit_and_run(
        self, request_id: RequestId, request: CallerRequest
    ) -> tuple[TeamId, RequestEnd]:
        admitted = await self._driver.submit(request_id, request.to_submission())
        if isinstance(admitted, Refusal):
            return NO_TEAM, admitted
        # A caller's disconnection does not cancel its request: the slot stays held
        # until the backend server has answered.
        run = asyncio.create_task(self._run_under_claim(request, admitted))
        self._running_tasks.add(run)
        run.add_done_callback(self._running_tasks.discard)
        return admitted.request.team, await asyncio.shield(run)

    async def _run_under_claim(
        self, call: CallerRequest, assignment: Assignment
    ) -> RequestEnd:
        """Run the request, under a claim if it has an idempotency key."""
        key_text = call.options.idempotency_key
        if key_text is None:
            return await self._run(call, assignment)
        if self._claims is None:
            self._driver.finish(assignment, True)
            return Refusal(RefusalReason.CLAIM_UNAVAILABLE)
        try:
            taken = await self._claims.take(call, assignment.request.team, key_text)
        except BaseException:
            # Nothing has been sent to the backend server.
            self._driver.finish(assignment, True)
            raise
        if isinstance(taken, Failure):
            self._driver.finish(assignment, True)
            earlier: RequestEnd = taken.failure()
            return earlier
        end: RequestEnd = Uncertain("the request was interrupted")
        try:
            end = await self._run(call, assignment)
        finally:
            self._claims.settle(taken.unwrap(), end)
        return end

    async def _run(self, call: CallerRequest, assignment: Assignment) -> RequestEnd:
        """Attempt the request until it ends."""
        self._budget.deposit()
        request = assignment.request
        attempts = Attempts(
            call.options.idempotent, request.deadline_s, self._budget, self._random
        )
        while True:
            result = await self._attempt(call, assignment)
            vm = assignment.vm.vm_id
            step = attempts.next_step(vm, result, self._clock.now_s())
            if isinstance(step, Finish):
                end = step.end
                break
            self._metrics.count_retry(call.queue)
            await asyncio.sleep(step.backoff_s)
            admitted = await self._driver.resubmit(
                replace(request, avoided=step.avoided)
            )
            if isinstance(admitted, Refusal):
                end = attempts.give_up(admitted)
                break
            assignment = admitted
        is_completed = isinstance(end, Answer) and not is_server_error(end)
        self._monitor.on_end(attempts.failed_on, vm if is_completed else None)
        return end

    async def _attempt(
        self, call: CallerRequest, assignment: Assignment
    ) -> Answer | SendFailure:
        """Send the request once, then release its slot as soon as that is safe."""
        result: Answer | SendFailure = SendFailure.SENT
        try:
            result = await self._send(call, assignment)
        finally:
            is_certain = isinstance(result, Answer) or result is SendFailure.NOT_SENT
            self._driver.finish(assignment, is_certain)
        await self._monitor.on_result(assignment, result)
        return result

    async def _send(
        self, call: CallerRequest, assignment: Assignment
    ) -> Answer | SendFailure:
        timeout_s = assignment.request.deadline_s - self._clock.now_s()
        if timeout_s <= 0:
            return SendFailure.NOT_SENT
        silence_timeout_s = None
        if call.options.idempotent:
            # Only a request that may run twice can be abandoned before its deadline.
            silence_timeout_s = self._monitor.silence_timeout_s(call.queue)
        backend_call = BackendCall(
            queue=call.queue,
            content_type=call.content_type,
            body=call.body,
            timeout_s=timeout_s,
            silence_timeout_s=silence_timeout_s,
        )
        return await self._backends.send(assignment.vm, backend_call)

    def _next_id(self) -> RequestId:
        self._last_number += 1
        return RequestId(f"{self._incarnation}-{self._last_number}")
