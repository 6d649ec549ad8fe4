"""Tell whether a generation is in force at every entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state import ENTRY_VM_PREFIX, EntryVmId, EntryVmRow, Generation

if TYPE_CHECKING:
    from currantstage.coordination._procedures import Procedure
    from currantstage.coordination._store_access import StoreAccess


@dataclass(frozen=True, slots=True)
class NoteProgress:
    """How far a committed generation has come.

    Parameters
    ----------
    generation : Generation
    waiting_for : tuple of EntryVmId
        Entry VMs that have not applied it yet; empty once it is accepted.
    """

    generation: Generation
    waiting_for: tuple[EntryVmId, ...]

    @property
    def is_accepted(self) -> bool:
        """Whether the generation is in force everywhere."""
        return not self.waiting_for


def note_progress(
    store: StoreAccess, generation: Generation
) -> Procedure[NoteProgress]:
    """Return which entry VMs still lack `generation`; raises `StoreAwayError`."""
    rows = yield from store.scan(ENTRY_VM_PREFIX)
    waiting = tuple(
        row.record.entry_vm
        for row in rows
        if isinstance(row.record, EntryVmRow)
        and row.record.applied_generation < generation
    )
    return NoteProgress(generation, waiting)
