"""Attempts of a scheduler to write its lease, of which some got no response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.jobs import LeaseRow, ProgressBatch
    from currantstage.state.jobs import PageKey


@dataclass(frozen=True, slots=True)
class CommitAttempt:
    """One write of the lease, and what is written with it.

    Parameters
    ----------
    lease : LeaseRow
    sent_s : float
    batch : ProgressBatch or None
    removed : tuple of PageKey
        Rows of progress that are removed.
    is_last : bool
        Whether the write releases the lease.
    """

    lease: LeaseRow
    sent_s: float
    batch: ProgressBatch | None = None
    removed: tuple[PageKey, ...] = ()
    is_last: bool = False


class CommitAttempts:
    """Finds the attempt that a stored lease was written by.

    At most one of the attempts since the last stored one can take effect, as all are
    conditional on the same version.

    Parameters
    ----------
    taken : LeaseRow
        The lease as written on taking it over.
    """

    def __init__(self, taken: LeaseRow) -> None:
        self._sequence = taken.sequence
        self._unconfirmed: dict[int, CommitAttempt] = {}

    def next_sequence(self) -> int:
        """Return a sequence number that no earlier attempt of the term has."""
        self._sequence += 1
        return self._sequence

    def add(self, attempt: CommitAttempt) -> None:
        """Record that `attempt` is being sent."""
        self._unconfirmed[attempt.lease.sequence] = attempt

    def discard(self, attempt: CommitAttempt) -> None:
        """Forget an attempt that the store has refused."""
        self._unconfirmed.pop(attempt.lease.sequence, None)

    def confirm(self) -> None:
        """Forget all attempts, as one of them is stored."""
        self._unconfirmed.clear()

    def find(self, stored: LeaseRow | None) -> CommitAttempt | None:
        """Return the attempt that wrote `stored`; None if it was none of them."""
        if stored is None:
            return None
        attempt = self._unconfirmed.get(stored.sequence)
        is_found = attempt is not None and attempt.lease.term == stored.term
        return attempt if is_found else None
