"""Check a release note against the fleet, and work out the fleet that it makes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from msgspec import UNSET
from returns.result import Failure, Result, Success

from currantstage.state import Fleet, Generation, ItemKind, ReleaseNote

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import Pool, PoolId, Queue, Team, Vm, Wave

IdT = TypeVar("IdT", bound=str)
RecordT = TypeVar("RecordT", bound=msgspec.Struct)

#: Shortest and longest configuration lease that a note may set, in seconds.
MIN_CONFIG_LEASE_S = 2.0
MAX_CONFIG_LEASE_S = 3600.0


@dataclass(frozen=True, slots=True)
class NoteFault:
    """One thing that is wrong with a release note.

    Parameters
    ----------
    place : str
        Where in the note, for instance ``add team north``.
    reason : str
    """

    place: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Section:
    """One kind of items of a note, with the records now in force."""

    kind: ItemKind
    id_field: str
    current: Mapping[Any, Any]
    added: tuple[Any, ...]
    changed: tuple[Any, ...]
    withdrawn: tuple[Any, ...]


def check_note(fleet: Fleet, note: ReleaseNote) -> Result[Fleet, tuple[NoteFault, ...]]:
    """Return the fleet that `note` makes out of `fleet`, or all faults of the note.

    Parameters
    ----------
    fleet : Fleet
        What is in force now.
    note : ReleaseNote

    Returns
    -------
    Result of Fleet or tuple of NoteFault
        The new fleet has the next generation.
    """
    faults: list[NoteFault] = []
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
    faults.extend(_check_fleet(after))
    return Failure(tuple(faults)) if faults else Success(after)


def _sections(fleet: Fleet, note: ReleaseNote) -> Iterable[_Section]:
    for kind in ItemKind:
        name = f"{kind.value}s"
        yield _Section(
            kind=kind,
            id_field=f"{kind.value}_id",
            current=getattr(fleet, name),
            added=getattr(note.added, name),
            # A key is replaced, never changed, so changes have no such part.
            changed=getattr(note.changed, name, ()),
            withdrawn=getattr(note.withdrawn, name),
        )


def _apply_section(section: _Section, faults: list[NoteFault]) -> dict[Any, Any]:
    """Return the records of one kind after the note; append what is wrong."""
    records = dict(section.current)
    named: set[str] = set()

    def claim(verb: str, item_id: str, *, must_exist: bool) -> bool:
        place = f"{verb} {section.kind.value} {item_id}"
        if item_id in named:
            faults.append(NoteFault(place, "named more than once in this note"))
            return False
        named.add(item_id)
        if (item_id in section.current) != must_exist:
            reason = "does not exist" if must_exist else "exists already"
            faults.append(NoteFault(place, reason))
            return False
        return True

    for record in section.added:
        item_id = getattr(record, section.id_field)
        if claim("add", item_id, must_exist=False):
            records[item_id] = record
    for change in section.changed:
        item_id = getattr(change, section.id_field)
        if claim("change", item_id, must_exist=True):
            records[item_id] = _apply_change(records[item_id], change)
    for item_id in section.withdrawn:
        if claim("withdraw", item_id, must_exist=True):
            del records[item_id]
    return records


def _apply_change(record: RecordT, change: msgspec.Struct) -> RecordT:
    values = {
        name: getattr(change, name)
        for name in change.__struct_fields__
        if getattr(change, name) is not UNSET
    }
    return msgspec.structs.replace(record, **values)


def _check_fleet(fleet: Fleet) -> Iterable[NoteFault]:
    yield from _check_lease(fleet)
    for pool in fleet.pools.values():
        yield from _check_pool(pool)
    for vm in fleet.vms.values():
        yield from _check_vm(fleet, vm)
    for team in fleet.teams.values():
        yield from _check_team(team)
    for key in fleet.keys.values():
        if key.team not in fleet.teams:
            yield NoteFault(f"key {key.key_id}", f"team {key.team} does not exist")
    for queue in fleet.queues.values():
        yield from _check_queue(fleet, queue)
    for wave in fleet.waves.values():
        yield from _check_wave(fleet, wave)
    yield from _check_addresses(fleet)


def _check_lease(fleet: Fleet) -> Iterable[NoteFault]:
    if not MIN_CONFIG_LEASE_S <= fleet.config_lease_s <= MAX_CONFIG_LEASE_S:
        yield NoteFault(
            "config_lease_s",
            f"must lie between {MIN_CONFIG_LEASE_S:g} and {MAX_CONFIG_LEASE_S:g} s",
        )


def _check_pool(pool: Pool) -> Iterable[NoteFault]:
    if min(pool.max_unavailable, pool.max_unavailable_per_rack) < 0:
        yield NoteFault(f"pool {pool.pool_id}", "a budget must not be negative")


def _check_vm(fleet: Fleet, vm: Vm) -> Iterable[NoteFault]:
    place = f"vm {vm.vm_id}"
    yield from _check_pools_exist(fleet, place, (vm.pool,))
    if min(vm.slots, vm.connections) < 1:
        yield NoteFault(place, "slots and connections must be positive")
    if vm.connections < vm.slots:
        yield NoteFault(place, "each slot needs a connection")


def _check_team(team: Team) -> Iterable[NoteFault]:
    place = f"team {team.team_id}"
    if not 0 < team.share < float("inf"):
        yield NoteFault(place, "share must be above zero and finite")
    if team.upper_limit_slots < 0:
        yield NoteFault(place, "upper_limit_slots must not be negative")


def _check_queue(fleet: Fleet, queue: Queue) -> Iterable[NoteFault]:
    place = f"queue {queue.queue_id}"
    yield from _check_pools_exist(fleet, place, queue.pools)
    if queue.timeout_ms < 1:
        yield NoteFault(place, "timeout_ms must be positive")
    if queue.max_waiting < 0:
        yield NoteFault(place, "max_waiting must not be negative")


def _check_wave(fleet: Fleet, wave: Wave) -> Iterable[NoteFault]:
    place = f"wave {wave.wave_id}"
    yield from _check_pools_exist(fleet, place, wave.pools)
    if wave.period_s < 1:
        yield NoteFault(place, "period_s must be positive")


def _check_pools_exist(
    fleet: Fleet, place: str, pools: tuple[PoolId, ...]
) -> Iterable[NoteFault]:
    if not pools:
        yield NoteFault(place, "needs a pool")
    for pool in pools:
        if pool not in fleet.pools:
            yield NoteFault(place, f"pool {pool} does not exist")


def _check_addresses(fleet: Fleet) -> Iterable[NoteFault]:
    owner_of_address: dict[str, str] = {}
    for vm in sorted(fleet.vms.values(), key=lambda vm: vm.vm_id):
        owner = owner_of_address.setdefault(vm.address, vm.vm_id)
        if owner != vm.vm_id:
            yield NoteFault(f"vm {vm.vm_id}", f"address {vm.address} is vm {owner}'s")
