"""Items of release notes, and differences between fleets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

from currantstage.state import ItemKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.state import Fleet, ReleaseNote


class NoteVerb(Enum):
    """What a release note does to an item."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class NoteItem:
    """An item that a release note names; its text form is an INI section header."""

    verb: NoteVerb
    kind: ItemKind
    item_id: str

    def __str__(self) -> str:
        return f"{self.verb.value} {self.kind.value} {self.item_id}"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs between two fleets.

    Parameters
    ----------
    item : NoteItem
    name : str
        Name of the field; empty if the whole item was withdrawn.
    before, after : str
        Values as text; empty if the item did not exist.
    """

    item: NoteItem
    name: str
    before: str
    after: str


def list_items(note: ReleaseNote) -> Iterable[NoteItem]:
    """Return every item that `note` names."""
    for kind in ItemKind:
        name, id_field = f"{kind.value}s", f"{kind.value}_id"
        for record in getattr(note.added, name):
            yield NoteItem(NoteVerb.ADD, kind, getattr(record, id_field))
        for change in getattr(note.changed, name, ()):
            yield NoteItem(NoteVerb.CHANGE, kind, getattr(change, id_field))
        for item_id in getattr(note.withdrawn, name):
            yield NoteItem(NoteVerb.WITHDRAW, kind, item_id)


def diff_fleets(before: Fleet, after: Fleet) -> Iterable[FieldChange]:
    """Return the changes from `before` to `after`, ordered by kind and identifier."""
    for kind in ItemKind:
        old: dict[str, Any] = getattr(before, f"{kind.value}s")
        new: dict[str, Any] = getattr(after, f"{kind.value}s")
        for item_id in sorted(old.keys() | new.keys()):
            yield from _diff_item(kind, item_id, old.get(item_id), new.get(item_id))


def _diff_item(
    kind: ItemKind, item_id: str, old: Any, new: Any
) -> Iterable[FieldChange]:
    if new is None:
        yield FieldChange(NoteItem(NoteVerb.WITHDRAW, kind, item_id), "", "", "")
        return
    item = NoteItem(NoteVerb.ADD if old is None else NoteVerb.CHANGE, kind, item_id)
    values: dict[str, Any] = msgspec.to_builtins(new)
    known: dict[str, Any] = {} if old is None else msgspec.to_builtins(old)
    for name, value in values.items():
        is_identifier = name == f"{kind.value}_id"
        if not is_identifier and (name not in known or known[name] != value):
            yield FieldChange(item, name, _text(known.get(name)), _text(value))


def _text(value: Any) -> str:
    if value is None:
        return ""
    return ", ".join(value) if isinstance(value, list) else str(value)
