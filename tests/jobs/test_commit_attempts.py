"""Attempts to write the lease, and the lease that is read afterwards."""

from __future__ import annotations

from msgspec.structs import replace

from currantstage.application.jobs._commit_attempts import (
    CommitAttempt,
    CommitAttempts,
)
from currantstage.coordination.jobs import LeaseRow
from currantstage.state import EntryVmId
from currantstage.state.jobs import Term

TAKEN = LeaseRow(holder=EntryVmId("own"), address="a", term=Term(4))


def _attempt(attempts: CommitAttempts) -> CommitAttempt:
    lease = replace(TAKEN, sequence=attempts.next_sequence())
    attempt = CommitAttempt(lease, sent_s=1.0)
    attempts.add(attempt)
    return attempt


def test_lease_is_traced_to_the_attempt_that_wrote_it() -> None:
    attempts = CommitAttempts(TAKEN)
    first, second = _attempt(attempts), _attempt(attempts)
    assert attempts.find(first.lease) is first
    assert attempts.find(second.lease) is second


def test_lease_of_another_term_is_traced_to_no_attempt() -> None:
    attempts = CommitAttempts(TAKEN)
    attempt = _attempt(attempts)
    newer = replace(attempt.lease, holder=EntryVmId("other"), term=Term(5))
    assert attempts.find(newer) is None
    assert attempts.find(None) is None


def test_attempts_before_a_stored_one_and_refused_ones_are_forgotten() -> None:
    attempts = CommitAttempts(TAKEN)
    first, second = _attempt(attempts), _attempt(attempts)
    attempts.discard(first)
    assert attempts.find(first.lease) is None
    attempts.confirm()
    assert attempts.find(second.lease) is None
    assert _attempt(attempts).lease.sequence > second.lease.sequence
