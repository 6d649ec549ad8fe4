"""Pages of progress that have changed since they were last stored."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._progress_pages import (
    max_size_bytes,
    storable_progress,
)
from currantstage.state.jobs import TaskPage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._progress_pages import ProgressPage
    from currantstage.coordination.jobs._records import JobRecord
    from currantstage.state.jobs import JobProgress

#: Maximum number of pages in a write; the store accepts 100 rows, one of which is the
#: lease.
MAX_PAGES_PER_WRITE = 90
#: Size of the pages in a write from which on others are left to the next one, in bytes;
#: a link of 10 Mbit/s takes it in about 0.1 s.
MAX_WRITE_BYTES = 128 * 1024


@dataclass(slots=True, eq=False)
class PageWrite:
    """A page as it is to be stored.

    Parameters
    ----------
    record : JobRecord
    page : ProgressPage
    row : JobProgress or TaskPage
    size_bytes : int
        Bound of the size of its tasks.
    """

    record: JobRecord
    page: ProgressPage
    row: JobProgress | TaskPage
    size_bytes: int


class UnsavedPages:
    """Pages to store, in the order in which they are."""

    def __init__(self) -> None:
        #: The pages, each with its job.
        self.pages: dict[ProgressPage, JobRecord] = {}

    def add(self, record: JobRecord, page: ProgressPage) -> None:
        """Add a page unless it waits already."""
        self.pages[page] = record

    def discard(self, pages: Iterable[ProgressPage]) -> None:
        """Store no more changes of `pages`."""
        for page in pages:
            self.pages.pop(page, None)

    def put_back(self, writes: Iterable[PageWrite]) -> None:
        """Add pages whose write has failed, behind those of other jobs."""
        failed = {
            each.page: each.record
            for each in writes
            if each.page.is_head or not each.record.state.is_final
        }
        jobs = set(map(id, failed.values()))
        behind = {
            page: record for page, record in self.pages.items() if id(record) in jobs
        }
        self.discard(behind)
        self.pages |= failed | behind

    def take(self, max_pages: int = MAX_PAGES_PER_WRITE) -> tuple[PageWrite, ...]:
        """Remove and return the first pages, as many as one write may hold.

        A page that has grown too large is divided, and comes after its new pages.
        """
        taken: list[PageWrite] = []
        size_bytes = 0
        is_complete = False
        while not is_complete:
            is_complete = True
            for page, record in list(islice(self.pages.items(), max_pages)):
                if len(taken) == max_pages:
                    break
                write = _to_write(record, page)
                if write.size_bytes > record.pages.limit_bytes:
                    is_complete = not self._divide(record, page)
                if not is_complete:
                    break
                if taken and size_bytes + write.size_bytes > MAX_WRITE_BYTES:
                    break
                del self.pages[page]
                taken.append(write)
                size_bytes += write.size_bytes
        return tuple(taken)

    def take_one(self, page: ProgressPage) -> tuple[PageWrite, ...]:
        """Remove and return one page alone, if it waits."""
        if page not in self.pages:
            return ()
        self.pages = {page: self.pages.pop(page), **self.pages}
        return self.take(max_pages=1)

    def _divide(self, record: JobRecord, page: ProgressPage) -> bool:
        """Divide a page that is too large; return False if it has one task only."""
        new_pages = record.pages.divide(page)
        first = dict.fromkeys((*new_pages, page), record)
        self.pages = first | self.pages
        return bool(new_pages)


def _to_write(record: JobRecord, page: ProgressPage) -> PageWrite:
    """Return a page as it is to be stored."""
    if record.state.is_final:
        return PageWrite(record, page, record.head(()), 0)
    tasks = tuple([storable_progress(task) for task in page.tasks.values()])
    size_bytes = sum([max_size_bytes(each) for each in tasks])
    row: JobProgress | TaskPage
    if page is record.pages.head:
        row = record.head(tasks)
    else:
        row = TaskPage(job=page.key.job, first=page.key.first, tasks=tasks)
    return PageWrite(record, page, row, size_bytes)
