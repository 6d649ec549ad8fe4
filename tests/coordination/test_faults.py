"""Tests of retries, server health, outlier ejection and run time estimates."""

from __future__ import annotations

import random

import pytest

from currantstage.coordination.requests import (
    DEFAULT_SILENCE_TIMEOUT_S,
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_REQUEST,
    Answer,
    Attempts,
    Finish,
    Outcome,
    Refusal,
    RefusalReason,
    Retry,
    SendFailure,
    ServerState,
    Uncertain,
)
from currantstage.coordination.store import RetryBudget
from currantstage.protocol import to_caller_answer
from currantstage.state import VmId
from tests.request_fakes import QUEUE, FakeRequestPath, make_fleet

FAILED = Answer(500, "text/plain", b"failed")
COMPLETED = Answer(200, "text/plain", b"done")


def make_attempts(is_idempotent, budget=None):
    budget = (
        RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST)
        if budget is None
        else budget
    )
    return Attempts(is_idempotent, 10.0, budget, random.Random(1))


@pytest.mark.parametrize("failure", [SendFailure.SENT, SendFailure.SILENT])
def test_non_idempotent_request_that_may_have_run_is_not_retried(failure):
    step = make_attempts(False).next_step(VmId("a"), failure, 0.0)
    assert isinstance(step, Finish)
    assert to_caller_answer(step.end).outcome is Outcome.UNKNOWN


def test_unsent_request_is_retried_on_another_worker():
    attempts = make_attempts(False)
    step = attempts.next_step(VmId("a"), SendFailure.NOT_SENT, 0.0)
    assert isinstance(step, Retry)
    assert step.avoided == {"a"}


def test_unsent_retries_do_not_hide_that_an_earlier_attempt_was_sent():
    attempts = make_attempts(True)
    attempts.next_step(VmId("a"), SendFailure.SENT, 0.0)
    attempts.next_step(VmId("b"), SendFailure.NOT_SENT, 0.0)
    step = attempts.next_step(VmId("c"), SendFailure.NOT_SENT, 0.0)
    assert isinstance(step.end, Uncertain)
    refusal = Refusal(RefusalReason.QUEUE_FULL)
    assert isinstance(attempts.give_up(refusal), Uncertain)


def test_retries_stop_at_the_deadline_and_when_the_budget_is_spent():
    late = make_attempts(True).next_step(VmId("a"), SendFailure.SENT, 9.999)
    assert isinstance(late, Finish)
    budget = RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST)
    steps = [
        make_attempts(True, budget).next_step(VmId("a"), SendFailure.SENT, 0.0)
        for _ in range(100)
    ]
    retries = sum(isinstance(step, Retry) for step in steps)
    assert retries == MAX_RETRY_TOKENS


def test_error_answer_is_returned_if_there_is_no_further_attempt():
    attempts = make_attempts(True)
    assert isinstance(attempts.next_step(VmId("a"), FAILED, 0.0), Retry)
    assert attempts.give_up(Refusal(RefusalReason.QUEUE_FULL)) == FAILED


def test_only_a_failed_probe_marks_a_server_as_down():
    path = FakeRequestPath(make_fleet())
    vm = VmId("w0")
    path.health.on_connection_failed(vm, 0.0)
    assert path.health.state_of(vm) is ServerState.SUSPECT
    assert path.health.due_probes(0.0) == [vm]
    assert path.health.due_probes(0.0) == []
    path.health.on_probe(vm, False, 1.0)
    assert path.health.state_of(vm) is ServerState.DOWN
    vms = {path.submit(str(n))[0].assignment.vm.vm_id for n in range(2)}
    assert vms == {"w1"}
    assert path.health.due_probes(1.0) == []
    assert path.health.due_probes(2.0) == [vm]
    path.health.on_probe(vm, True, 2.0)
    assert path.health.state_of(vm) is ServerState.UP


def run_jobs(path, outcome_of, count=400):
    """Report `count` jobs, round robin over the workers; return the ejected workers."""
    workers = sorted(path.configuration.fleet.vms)
    ejected = []
    for number in range(count):
        vm = workers[number % len(workers)]
        if path.outliers.is_ejected(vm, 0.0):
            continue
        if outcome_of(vm, number):
            path.tracker.on_end([], vm, 0.0)
        else:
            ejected.extend(path.tracker.on_end([vm], None, 0.0))
    return ejected


def test_worker_that_fails_all_requests_is_ejected():
    path = FakeRequestPath(make_fleet(workers=6))
    assert run_jobs(path, lambda vm, _: vm != "w3") == ["w3"]


def test_ejected_worker_gets_no_requests():
    path = FakeRequestPath(make_fleet(workers=2, slots=4))
    run_jobs(path, lambda vm, _: vm != "w0")
    vms = {path.submit(str(n))[0].assignment.vm.vm_id for n in range(4)}
    assert vms == {"w1"}


def test_jobs_that_fail_on_all_workers_eject_none():
    path = FakeRequestPath(make_fleet(workers=6))
    assert run_jobs(path, lambda vm, number: False) == []
    rng = random.Random(5)
    assert run_jobs(path, lambda vm, number: rng.random() < 0.5) == []


def test_ejections_are_limited_to_a_third_of_the_pool():
    path = FakeRequestPath(make_fleet(workers=6))
    assert len(run_jobs(path, lambda vm, _: vm in ("w0", "w1"))) == 2


def test_request_that_fails_on_several_workers_is_charged_to_none():
    path = FakeRequestPath(make_fleet(workers=6))
    run_jobs(path, lambda vm, _: True)
    for _ in range(50):
        assert path.tracker.on_end([VmId("w0"), VmId("w1")], None, 0.0) == []
    assert path.tracker.on_end([VmId("w0")] * 20, VmId("w1"), 0.0) == ["w0"]


def test_worker_returns_from_ejection_on_probation():
    path = FakeRequestPath(make_fleet(workers=6))
    run_jobs(path, lambda vm, _: vm != "w3")
    assert path.outliers.is_ejected(VmId("w3"), 4.9)
    assert not path.outliers.is_ejected(VmId("w3"), 5.0)
    assert path.tracker.on_end([VmId("w3")], None, 5.0) == ["w3"]
    assert path.outliers.is_ejected(VmId("w3"), 14.9)


def test_silence_timeout_grows_with_run_times():
    path = FakeRequestPath(make_fleet())
    assert path.tracker.silence_timeout_s(QUEUE) == DEFAULT_SILENCE_TIMEOUT_S
    (start,) = path.submit("a")
    for _ in range(50):
        path.tracker.on_result(start.assignment, COMPLETED, 1.0)
    first_s = path.tracker.silence_timeout_s(QUEUE)
    assert first_s == 3.0
    for _ in range(5):
        path.tracker.on_result(start.assignment, SendFailure.SILENT, first_s)
    assert path.tracker.silence_timeout_s(QUEUE) == 2 * first_s
