"""Validation of a release note, and computation of the resulting fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from msgspec import UNSET
from returns.result import Failure, Result, Success

from currantstage.coordination.notes._fleet_check import check_fleet, is_identifier
from currantstage.coordination.notes._note_items import list_items
from currantstage.state import Fleet, Generation, ItemKind, PoolId, ReleaseNote

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.coordination.notes._fleet_check import FleetFault

IdT = TypeVar("IdT", bound=str)
RecordT = TypeVar("RecordT", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class NoteFault:
    """A validation error of a release note.

    Parameters
    ----------
    location : str
        Location in the note, for instance ``add team north``.
    reason : str
    """

    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Section:
    """A note's changes to items of one kind, with the records now in force."""

    kind: ItemKind
    id_field: str
    current: Mapping[Any, Any]
    added: tuple[Any, ...]
    changed: tuple[Any, ...]
    withdrawn: tuple[Any, ...]


def check_note(fleet: Fleet, note: ReleaseNote) -> Result[Fleet, tuple[NoteFault, ...]]:
    """Return the fleet that results from `note`, or all faults of the note.

    Parameters
    ----------
    fleet : Fleet
        The fleet that the note is applied to.
    note : ReleaseNote

    Returns
    -------
    Result of Fleet or tuple of NoteFault
        The new fleet, with the next generation, or the faults.
    """
    faults: list[NoteFault] = []
    if not is_identifier(note.note_id):
        faults.append(NoteFault("id", "has 1 to 64 letters, digits, '-' and '_'"))
    tables = {
        section.kind: _apply_section(section, faults)
        for section in _sections(fleet, note)
    }
    lease_s = fleet.config_lease_s
    if note.config_lease_s is not UNSET:
        lease_s = note.config_lease_s
    after = Fleet(
        generation=Generation(fleet.generation + 1),
        config_lease_s=lease_s,
        pools=tables[ItemKind.POOL],
        vms=tables[ItemKind.VM],
        teams=tables[ItemKind.TEAM],
        keys=tables[ItemKind.KEY],
        queues=tables[ItemKind.QUEUE],
        waves=tables[ItemKind.WAVE],
    )
    faults.extend(_locate_faults(note, check_fleet(after)))
    faults.extend(_check_named_budgets(note, after))
    return Failure(tuple(faults)) if faults else Success(after)


def _sections(fleet: Fleet, note: ReleaseNote) -> Iterable[_Section]:
    for kind in ItemKind:
        name = f"{kind.value}s"
        yield _Section(
            kind=kind,
            id_field=f"{kind.value}_id",
            current=getattr(fleet, name),
            added=getattr(note.added, name),
            # Keys are replaced, never changed, so `changed` has no keys.
            changed=getattr(note.changed, name, ()),
            withdrawn=getattr(note.withdrawn, name),
        )


def _apply_section(section: _Section, faults: list[NoteFault]) -> dict[Any, Any]:
    """Return the records of one kind after the note; append faults to `faults`."""
    records = dict(section.current)
    named: set[str] = set()

    def check_reference(verb: str, item_id: str, *, must_exist: bool) -> bool:
        location = f"{verb} {section.kind.value} {item_id}"
        if item_id in named:
            faults.append(NoteFault(location, "named more than once in this note"))
            return False
        named.add(item_id)
        if (item_id in section.current) != must_exist:
            reason = "does not exist" if must_exist else "exists already"
            faults.append(NoteFault(location, reason))
            return False
        return True

    for record in section.added:
        item_id = getattr(record, section.id_field)
        if check_reference("add", item_id, must_exist=False):
            records[item_id] = record
    for change in section.changed:
        item_id = getattr(change, section.id_field)
        if check_reference("change", item_id, must_exist=True):
            records[item_id] = _apply_change(records[item_id], change)
    for item_id in section.withdrawn:
        if check_reference("withdraw", item_id, must_exist=True):
            del records[item_id]
    return records


def _apply_change(record: RecordT, change: msgspec.Struct) -> RecordT:
    values = {
        name: getattr(change, name)
        for name in change.__struct_fields__
        if getattr(change, name) is not UNSET
    }
    return msgspec.structs.replace(record, **values)


def _locate_faults(
    note: ReleaseNote, faults: Iterable[FleetFault]
) -> Iterable[NoteFault]:
    """Convert faults of the fleet to faults at their locations in the note."""
    items = {(item.kind, item.item_id): str(item) for item in list_items(note)}
    for fault in faults:
        if fault.kind is None:
            yield NoteFault(fault.item_id, fault.reason)
            continue
        default = f"{fault.kind.value} {fault.item_id}, which the note leaves"
        location = items.get((fault.kind, fault.item_id), default)
        yield NoteFault(location, fault.reason)


def _check_named_budgets(note: ReleaseNote, after: Fleet) -> Iterable[NoteFault]:
    """Return a fault for each budget in the note that is larger than its pool.

    Only pools that the note names are checked: withdrawing a VM from a small pool must
    not fail because of a budget that was set when the pool was larger.
    """
    for item in list_items(note):
        pool = after.pools.get(PoolId(item.item_id))
        if item.kind is not ItemKind.POOL or pool is None:
            continue
        size = len(after.vms_of_pool(pool.pool_id))
        if size and pool.max_unavailable > size:
            reason = (
                f"max_unavailable is {pool.max_unavailable}, the pool has {size} VMs"
            )
            yield NoteFault(str(item), reason)
