"""Cancellations of jobs that aren't known, whose submission may still be under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state.jobs import JobId


class EarlyCancellations:
    """Jobs that were cancelled before they were stored.

    A write that got no answer may be carried out seconds later, when the caller has
    been told already that the job is cancelled.
    """

    def __init__(self) -> None:
        self._noted_s: dict[JobId, float] = {}

    def __contains__(self, job: JobId) -> bool:
        return job in self._noted_s

    def add(self, job: JobId, now_s: float) -> None:
        """Note the stored cancellation of a job that isn't known."""
        self._noted_s.setdefault(job, now_s)

    def discard(self, job: JobId) -> None:
        """Forget a cancellation that has been removed or applied."""
        self._noted_s.pop(job, None)

    def noted_before(self, before_s: float) -> list[JobId]:
        """Return the jobs whose cancellation was noted before `before_s`."""
        return [job for job, noted_s in self._noted_s.items() if noted_s < before_s]
