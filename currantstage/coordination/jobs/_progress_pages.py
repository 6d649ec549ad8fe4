"""Division of a job's progress into pages, so that each fits a row of the store."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from currantstage.state.jobs import HEAD_PAGE, PageKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.state.jobs import JobId, TaskProgress

#: Size of the progress of a job up to which it is one page, in bytes. Such a page can
#: be read by daemons that don't know of others.
MAX_UNDIVIDED_BYTES = 48 * 1024
#: Size from which on a page of a divided job is divided again, and size of the pages
#: that come of it, in bytes. A change of one task writes its page.
MAX_PAGE_BYTES = 16 * 1024
NEW_PAGE_BYTES = 8 * 1024
#: Maximum size of a checkpoint that is stored, in bytes.
MAX_CHECKPOINT_BYTES = 32 * 1024
#: Bounds of the encoded size of a task without its texts and lists, of one failed run
#: and of one crash, in bytes.
_TASK_BYTES = 200
_FAILED_RUN_BYTES = 12
_CRASH_BYTES = 100
#: Maximum ratio of the encoded size of a character to its size in UTF-8.
_MAX_ESCAPE = 6


@dataclass(slots=True, eq=False)
class ProgressPage:
    """Tasks of a job whose progress is stored in one row.

    Parameters
    ----------
    key : PageKey
    tasks : dict of int to TaskRecord
        Tasks that have been placed, by their number in the job.
    """

    key: PageKey
    tasks: dict[int, TaskRecord] = field(default_factory=dict)

    @property
    def is_head(self) -> bool:
        """Whether the job's own state is stored with these tasks."""
        return self.key.first == HEAD_PAGE


class JobPages:
    """The pages of one job, by the number of their first task.

    Parameters
    ----------
    job : JobId
    firsts : iterable of int, optional
        First tasks of the pages other than the head.
    """

    def __init__(self, job: JobId, firsts: Iterable[int] = ()) -> None:
        self._job = job
        self._firsts = [HEAD_PAGE, *sorted(firsts)]
        self._pages = [ProgressPage(PageKey(job, each)) for each in self._firsts]
        #: The page with the job's own state.
        self.head = self._pages[0]
        #: Whether there are pages besides the head.
        self.is_divided = len(self._pages) > 1
        #: Size from which on a page is to be divided, in bytes.
        self.limit_bytes = MAX_PAGE_BYTES if self.is_divided else MAX_UNDIVIDED_BYTES

    @property
    def all(self) -> Sequence[ProgressPage]:
        """All pages."""
        return self._pages

    @property
    def others(self) -> Sequence[ProgressPage]:
        """All pages but the head."""
        return self._pages[1:]

    def page_of(self, number: int) -> ProgressPage:
        """Return the page of the task of that number."""
        if not self.is_divided:
            return self.head
        return self._pages[bisect_right(self._firsts, number) - 1]

    def pages_of(self, first: int, count: int) -> Sequence[ProgressPage]:
        """Return the pages of `count` tasks from number `first` on."""
        begin = bisect_right(self._firsts, first) - 1
        end = bisect_right(self._firsts, first + count - 1)
        return self._pages[begin:end]

    def divide(self, page: ProgressPage) -> list[ProgressPage]:
        """Divide a page that has grown too large; return the new pages, last first.

        A page is to be stored only after those that follow it: what is read of a task
        is its entry in the last page that begins at or before it.
        """
        first, *others = _group(
            {
                number: max_size_bytes(storable_progress(task))
                for number, task in page.tasks.items()
            }
        )
        new_pages = [
            ProgressPage(PageKey(self._job, group[0]), _pick(page.tasks, group))
            for group in others
        ]
        page.tasks = _pick(page.tasks, first)
        position = self._pages.index(page) + 1
        self._pages[position:position] = new_pages
        self._firsts = [each.key.first for each in self._pages]
        if new_pages:
            self.is_divided = True
            self.limit_bytes = MAX_PAGE_BYTES
        return new_pages[::-1]


def storable_progress(task: TaskRecord) -> TaskProgress:
    """Return the progress to store for a task, without a checkpoint that fits no row.

    A task that is started again without its checkpoint begins anew.
    """
    progress = task.progress()
    if progress.checkpoint and not is_storable(progress.checkpoint):
        return msgspec.structs.replace(progress, checkpoint="")
    return progress


def is_storable(checkpoint: str) -> bool:
    """Return whether a checkpoint fits a row.

    >>> is_storable("00000bb87a21d94b"), is_storable("0" * 100_000)
    (True, False)
    """
    return _text_bytes(checkpoint) <= MAX_CHECKPOINT_BYTES


def max_size_bytes(progress: TaskProgress) -> int:
    """Return a bound of the encoded size of a task's progress, in bytes."""
    size_bytes = _TASK_BYTES + len(progress.worker)
    if progress.checkpoint:
        size_bytes += _text_bytes(progress.checkpoint)
    if progress.failed_runs:
        size_bytes += len(progress.failed_runs) * _FAILED_RUN_BYTES
    if progress.crashes:
        size_bytes += len(progress.crashes) * _CRASH_BYTES
    return size_bytes


def _text_bytes(text: str) -> int:
    """Return a bound of the encoded size of a text, in bytes."""
    is_plain = text.isprintable() and '"' not in text and "\\" not in text
    return len(text.encode()) * (1 if is_plain else _MAX_ESCAPE)


def _group(sizes: Mapping[int, int]) -> list[list[int]]:
    """Return the numbers of tasks in groups of `NEW_PAGE_BYTES`, in their order.

    >>> _group({3: 5000, 1: 5000, 2: 100})
    [[1, 2], [3]]
    """
    groups: list[list[int]] = [[]]
    group_bytes = 0
    for number in sorted(sizes):
        if groups[-1] and group_bytes + sizes[number] > NEW_PAGE_BYTES:
            groups.append([])
            group_bytes = 0
        groups[-1].append(number)
        group_bytes += sizes[number]
    return groups


def _pick(tasks: dict[int, TaskRecord], numbers: list[int]) -> dict[int, TaskRecord]:
    return {number: tasks[number] for number in numbers}
