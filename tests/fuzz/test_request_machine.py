"""Stateful test of requests, faults and notes against a simple oracle."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantstage.coordination.requests import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_REQUEST,
    Answer,
    Assignment,
    Attempts,
    Finish,
    JobSize,
    Refusal,
    RefusalReason,
    Refuse,
    ReleaseAt,
    RequestEnd,
    SendFailure,
    Start,
    Wait,
    is_server_error,
)
from currantstage.coordination.store import RetryBudget
from currantstage.state import VmId
from tests.fuzz.fuzz_settings import machine_settings
from tests.request_fakes import FakeRequestPath, make_fleet

LIMITS = {"north": 3, "south": 2}
#: More than half the memory of a worker: while one such job runs, a second doesn't fit
#: although slots are free.
LARGE = JobSize(memory_mb=20_000)


class AttemptResult(Enum):
    """Result of one attempt."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_SENT = "not-sent"
    #: The connection was lost before the job started, or after it ended.
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    #: No answer was received, and the job runs until the deadline that was sent to it.
    SILENT = "silent"


@dataclass
class Call:
    """The oracle's view of one request."""

    name: str
    team: str
    is_idempotent: bool
    attempts: Attempts | None = None
    held: Assignment | None = None
    retry: Assignment | None = None
    runs: int = 0
    ends: list[RequestEnd] = field(default_factory=list)


class RequestMachine(RuleBasedStateMachine):
    """Drives the dispatcher, attempts and fault tracking as the application does."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.generation = 1
        self.limits = dict(LIMITS)
        self.path = FakeRequestPath(make_fleet(workers=3, limits=LIMITS, max_waiting=6))
        self.dispatcher = self.path.dispatcher
        self.budget = RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST)
        self.random = random.Random(1)
        self.calls: dict[str, Call] = {}
        self.timers: list[tuple[float, object]] = []
        #: Worker, team and end of each job that may be running: all that the oracle
        #: knows about used capacity.
        self.executing: list[tuple[str, str, float]] = []
        self.leaving: set[str] = set()
        self.withdrawn: set[str] = set()

    @rule(
        team=st.sampled_from(sorted(LIMITS)),
        is_idempotent=st.booleans(),
        is_urgent=st.booleans(),
        timeout_s=st.sampled_from([1.0, 5.0, 10.0]),
        size=st.sampled_from([JobSize(), JobSize(), LARGE]),
    )
    def submit(self, team, is_idempotent, is_urgent, timeout_s, size):
        name = f"r{len(self.calls)}"
        self.calls[name] = Call(name, team, is_idempotent)
        effects = self.path.submit(
            name,
            team,
            self.now_s,
            is_idempotent=is_idempotent,
            is_urgent=is_urgent,
            timeout_s=timeout_s,
            size=size,
        )
        self.apply(effects)

    @precondition(lambda self: self.running_calls())
    @rule(data=st.data(), result=st.sampled_from(AttemptResult))
    def end_attempt(self, data, result):
        call = data.draw(st.sampled_from(self.running_calls()))
        self.finish_attempt(call, result)

    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from([*self.calls, "unknown"]))
        reason = RefusalReason.CANCELLED
        self.apply(self.dispatcher.withdraw(name, reason))

    @rule(duration_s=st.sampled_from([0.01, 0.5, 3.0, 11.0]))
    def advance(self, duration_s):
        until_s = self.now_s + duration_s
        while due := [timer for timer in self.timers if timer[0] <= until_s]:
            timer = min(due, key=lambda each: each[0])
            self.timers.remove(timer)
            self.now_s = max(timer[0], self.now_s)
            self.fire(timer[1])
        self.now_s = until_s
        self.apply(self.dispatcher.start_waiting(self.now_s))

    @rule(is_answered=st.booleans())
    def probe(self, is_answered):
        for vm in self.path.health.due_probes(self.now_s):
            self.path.health.on_probe(vm, is_answered, self.now_s)
        self.apply(self.dispatcher.start_waiting(self.now_s))

    @rule(leaving=st.sets(st.sampled_from(["w0", "w1", "w2"])))
    def change_listing(self, leaving):
        self.leaving = leaving
        self.apply(self.dispatcher.set_leaving(map(VmId, leaving), self.now_s))

    @rule(
        workers=st.integers(1, 3),
        limits=st.dictionaries(st.sampled_from(sorted(LIMITS)), st.integers(1, 4)),
        withdrawn=st.sets(st.sampled_from(sorted(LIMITS))),
    )
    def apply_note(self, workers, limits, withdrawn):
        self.generation += 1
        self.limits = limits
        self.withdrawn = withdrawn
        fleet = make_fleet(
            workers=workers,
            limits=limits,
            max_waiting=6,
            generation=self.generation,
            withdrawn=withdrawn,
        )
        self.path.configuration.apply(fleet)
        self.apply(self.dispatcher.start_waiting(self.now_s))

    @invariant()
    def nothing_waits_that_could_start(self):
        assert self.dispatcher.start_waiting(self.now_s) == []

    @invariant()
    def every_end_is_true(self):
        for call in self.calls.values():
            assert len(call.ends) <= 1
            if not call.is_idempotent:
                assert call.runs <= 1, "a non-idempotent request ran twice"
            for end in call.ends:
                if isinstance(end, Refusal):
                    assert call.runs == 0, "a refused request ran"
                elif isinstance(end, Answer):
                    assert end.body == call.name.encode()

    def teardown(self):
        self.apply(self.dispatcher.stop_admission())
        while self.running_calls() or self.timers:
            for call in self.running_calls():
                self.finish_attempt(call, AttemptResult.ANSWERED)
            self.advance(11.0)
        for call in self.calls.values():
            assert len(call.ends) == 1, "a request never ended"
        assert self.dispatcher.waiting_count == self.dispatcher.running_count == 0
        for vm in self.path.configuration.fleet.vms.values():
            assert self.path.slots.free_slots(vm.vm_id) == vm.slots
        for team, limit in self.limits.items():
            taken = [self.path.limiter.try_acquire(team) for _ in range(limit + 1)]
            assert taken == [True] * limit + [False]

    def running_calls(self):
        return [call for call in self.calls.values() if call.held is not None]

    def apply(self, effects):
        for effect in effects:
            match effect:
                case Start(name, assignment):
                    self.on_start(self.calls[name], assignment)
                case Refuse(name, refusal):
                    self.on_refused(self.calls[name], refusal)
                case Wait():
                    self.timers.append((effect.until_s, effect))
                case ReleaseAt():
                    self.timers.append((effect.at_s, effect))

    def fire(self, effect):
        match effect:
            case Wait(name, _):
                reason = RefusalReason.DEADLINE_PASSED
                self.apply(self.dispatcher.withdraw(name, reason))
            case ReleaseAt(assignment, _):
                self.apply(self.dispatcher.release(assignment, self.now_s))
            case Call():
                request = replace(
                    effect.retry.request,
                    avoided=frozenset(effect.attempts.failed_on),
                )
                self.apply(self.dispatcher.resubmit(request, self.now_s))

    def on_start(self, call, assignment):
        vm, request = assignment.vm, assignment.request
        assert call.held is None
        assert not call.ends
        assert vm.vm_id not in self.leaving, "a leaving server got a new request"
        assert call.team in self.limits, "a request of a withdrawn team started"
        assert call.team not in self.withdrawn, "a request with a withdrawn key started"
        self.executing = [job for job in self.executing if job[2] > self.now_s]
        self.executing.append((vm.vm_id, call.team, float("inf")))
        on_vm = sum(job[0] == vm.vm_id for job in self.executing)
        of_team = sum(job[1] == call.team for job in self.executing)
        assert on_vm <= vm.slots, "a worker is oversubscribed"
        assert of_team <= self.limits[call.team], "a team exceeds its limit"
        call.held = assignment
        if call.attempts is None:
            self.budget.deposit()
            call.attempts = Attempts(
                call.is_idempotent, request.deadline_s, self.budget, self.random
            )

    def on_refused(self, call, refusal):
        end = refusal
        if call.attempts is not None:
            end = call.attempts.give_up(refusal)
        call.ends.append(end)

    def finish_attempt(self, call, result):
        assignment, call.held = call.held, None
        vm = assignment.vm.vm_id
        if result not in (AttemptResult.NOT_SENT, AttemptResult.LOST_BEFORE):
            call.runs += 1
        job_end_s = self.now_s
        if result is AttemptResult.SILENT:
            job_end_s = assignment.request.deadline_s
        self.executing.remove((vm, call.team, float("inf")))
        self.executing.append((vm, call.team, job_end_s))
        seen = self.seen(call, result)
        is_certain = isinstance(seen, Answer) or seen is SendFailure.NOT_SENT
        self.apply(self.dispatcher.finish(assignment, is_certain, self.now_s))
        self.path.tracker.on_result(assignment, seen, self.now_s)
        step = call.attempts.next_step(vm, seen, self.now_s)
        if isinstance(step, Finish):
            call.ends.append(step.end)
            end = step.end
            is_completed = isinstance(end, Answer) and not is_server_error(end)
            failed_on = call.attempts.failed_on
            self.path.tracker.on_end(
                failed_on, vm if is_completed else None, self.now_s
            )
        else:
            call.retry = assignment
            self.timers.append((self.now_s + step.backoff_s, call))

    @staticmethod
    def seen(call, result):
        match result:
            case AttemptResult.ANSWERED:
                return Answer(200, "text/plain", call.name.encode())
            case AttemptResult.FAILED:
                return Answer(500, "text/plain", call.name.encode())
            case AttemptResult.NOT_SENT:
                return SendFailure.NOT_SENT
            case AttemptResult.SILENT:
                return SendFailure.SILENT
        return SendFailure.SENT


def test_requests_end_once_and_truthfully():
    run_state_machine_as_test(
        RequestMachine,
        settings=machine_settings(200, 40),
    )
