"""Validation of a whole fleet: value ranges and references between items."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from currantstage.state import ItemKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.state import Fleet, Key, Pool, PoolId, Queue, Team, Vm, Wave

#: Bounds of the configuration lease that a note may set, in seconds.
MIN_CONFIG_LEASE_S = 2.0
MAX_CONFIG_LEASE_S = 3600.0

#: Identifiers are used in row keys, in addresses and as the part of a key before
#: its dot.
_IDENTIFIER = re.compile(r"[A-Za-z0-9_-]{1,64}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")


@dataclass(frozen=True, slots=True)
class FleetFault:
    """A validation error of a fleet or of one of its items.

    Parameters
    ----------
    kind : ItemKind or None
        None if the fault does not concern a single item.
    item_id : str
    reason : str
    """

    kind: ItemKind | None
    item_id: str
    reason: str


def is_identifier(text: str) -> bool:
    """Return whether `text` is a valid identifier of an item or a note.

    >>> is_identifier("north-1"), is_identifier("north/1")
    (True, False)
    """
    return _IDENTIFIER.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address and a port.

    >>> is_address("127.0.0.1:80"), is_address("localhost:80")
    (True, False)
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    *octets, port = (int(group) for group in match.groups())
    return max(octets) < 256 and 0 < port < 65536


def check_fleet(fleet: Fleet) -> Iterable[FleetFault]:
    """Return every fault of `fleet`."""
    if not MIN_CONFIG_LEASE_S <= fleet.config_lease_s <= MAX_CONFIG_LEASE_S:
        reason = f"must lie between {MIN_CONFIG_LEASE_S:g} and {MAX_CONFIG_LEASE_S:g} s"
        yield FleetFault(None, "config_lease_s", reason)
    for kind in ItemKind:
        records: dict[str, Any] = getattr(fleet, f"{kind.value}s")
        for item_id, record in records.items():
            for reason in _check_item(fleet, kind, item_id, record):
                yield FleetFault(kind, item_id, reason)
    yield from _check_addresses(fleet)
    yield from _check_racks(fleet)


def _check_item(
    fleet: Fleet, kind: ItemKind, item_id: str, record: Any
) -> Iterable[str]:
    if not is_identifier(item_id):
        yield "an identifier has 1 to 64 letters, digits, '-' and '_'"
    match kind:
        case ItemKind.POOL:
            yield from _check_pool(record)
        case ItemKind.VM:
            yield from _check_vm(fleet, record)
        case ItemKind.TEAM:
            yield from _check_team(record)
        case ItemKind.KEY:
            yield from _check_key(fleet, record)
        case ItemKind.QUEUE:
            yield from _check_queue(fleet, record)
        case ItemKind.WAVE:
            yield from _check_wave(fleet, record)


def _check_pool(pool: Pool) -> Iterable[str]:
    if min(pool.max_unavailable, pool.max_unavailable_per_rack) < 0:
        yield "a budget must not be negative"


def _check_vm(fleet: Fleet, vm: Vm) -> Iterable[str]:
    yield from _check_pools(fleet, (vm.pool,))
    if not is_address(vm.address):
        yield f"address {vm.address!r} is not IP:port"
    if min(vm.slots, vm.connections) < 1:
        yield "slots and connections must be positive"
    if vm.connections < vm.slots:
        yield "each slot needs a connection"
    if not 0 < vm.processors < float("inf") or vm.memory_mb < 1:
        yield "processors and memory_mb must be positive"
    if vm.accelerators < 0:
        yield "accelerators must not be negative"


def _check_team(team: Team) -> Iterable[str]:
    if not 0 < team.share < float("inf"):
        yield "share must be above zero and finite"
    if team.upper_limit_slots < 0:
        yield "upper_limit_slots must not be negative"


def _check_key(fleet: Fleet, key: Key) -> Iterable[str]:
    if key.team not in fleet.teams:
        yield f"team {key.team} does not exist"
    if not key.salt:
        yield "salt must not be empty"
    if not _SHA256.fullmatch(key.digest):
        yield "digest must be a SHA-256 in hexadecimal"


def _check_queue(fleet: Fleet, queue: Queue) -> Iterable[str]:
    yield from _check_pools(fleet, queue.pools)
    if queue.timeout_ms < 1:
        yield "timeout_ms must be positive"
    if queue.max_waiting < 0:
        yield "max_waiting must not be negative"
    if not 0 < queue.availability_objective < 1 or not 0 < queue.latency_objective < 1:
        yield "objectives must lie between 0 and 1"
    if queue.latency_bound_ms < 1:
        yield "latency_bound_ms must be positive"


def _check_wave(fleet: Fleet, wave: Wave) -> Iterable[str]:
    yield from _check_pools(fleet, wave.pools)
    if wave.period_s < 1:
        yield "period_s must be positive"


def _check_pools(fleet: Fleet, pools: tuple[PoolId, ...]) -> Iterable[str]:
    if not pools:
        yield "needs a pool"
    for pool, count in Counter(pools).items():
        if pool not in fleet.pools:
            yield f"pool {pool} does not exist"
        if count > 1:
            yield f"pool {pool} is named {count} times"


def _check_addresses(fleet: Fleet) -> Iterable[FleetFault]:
    owner_of_address: dict[str, str] = {}
    for vm in sorted(fleet.vms.values(), key=lambda vm: vm.vm_id):
        owner = owner_of_address.setdefault(vm.address, vm.vm_id)
        if owner != vm.vm_id:
            reason = f"address {vm.address} is vm {owner}'s"
            yield FleetFault(ItemKind.VM, vm.vm_id, reason)


def _check_racks(fleet: Fleet) -> Iterable[FleetFault]:
    """Return a fault for each VM whose rack is used in more than one data centre."""
    data_centre_of_rack: dict[str, str] = {}
    for vm in sorted(fleet.vms.values(), key=lambda vm: vm.vm_id):
        pool = fleet.pools.get(vm.pool)
        if pool is None:
            continue
        data_centre = data_centre_of_rack.setdefault(vm.rack, pool.data_centre)
        if data_centre != pool.data_centre:
            reason = f"rack {vm.rack} stands in data centre {data_centre}"
            yield FleetFault(ItemKind.VM, vm.vm_id, reason)
