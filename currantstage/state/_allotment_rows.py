"""Rows that divide upper limits and worker slots among the entry VMs."""

from __future__ import annotations

from typing import NewType

from msgspec import Struct, field

from currantstage.state._ids import (
    FIRST_GENERATION,
    DataCentreId,
    EntryVmId,
    Generation,
    IncarnationId,
    RowKey,
    TeamId,
    VmId,
)

#: A resource counted in slots: a team's upper limit, or a worker.
ResourceId = NewType("ResourceId", str)
#: A group of entry VMs that share the same resources.
ScopeId = NewType("ScopeId", str)

#: Scope of the teams' upper limits.
FLEET_SCOPE = ScopeId("fleet")
ALLOTMENT_PREFIX = RowKey("allotment/")


class LedgerRow(Struct, frozen=True, kw_only=True, tag="allotment-ledger"):
    """Total and free slots of each resource.

    Parameters
    ----------
    generation : Generation
        Latest configuration that changed the totals.
    total_slots : dict
        All slots by resource: free, held and in transfer between holders.
    free_slots : dict
        Slots without a holder; resources without free slots are omitted.
    retired : tuple of IncarnationId
        Holders that no longer run work and whose slots are being reclaimed.
    reclaims : int
        Number of times that slots of retired holders were added to the free ones.
    """

    generation: Generation = FIRST_GENERATION
    total_slots: dict[ResourceId, int] = field(default_factory=dict)
    free_slots: dict[ResourceId, int] = field(default_factory=dict)
    retired: tuple[IncarnationId, ...] = ()
    reclaims: int = 0


class HolderRow(Struct, frozen=True, kw_only=True, tag="allotment-holder"):
    """Slots that one process of an entry VM has taken from the ledger.

    Transfers between holders are not recorded in rows until one of them is retired.

    Parameters
    ----------
    incarnation : IncarnationId
    entry_vm : EntryVmId
    start_number : int
        Increases with each start of the entry VM among those with a row here at
        the same time.
    max_work_s : float
        Maximum time that work started by this holder may still run, in seconds.
    granted_slots : dict
        Slots taken from the ledger less those returned, by resource. Negative for a
        holder that returned more than it took, having received slots from peers.
    closed_slots : dict
        For each retired holder with which it has permanently stopped exchanging
        slots, the slots received from that holder less those sent, by resource.
    """

    incarnation: IncarnationId
    entry_vm: EntryVmId
    start_number: int
    max_work_s: float
    granted_slots: dict[ResourceId, int] = field(default_factory=dict)
    closed_slots: dict[IncarnationId, dict[ResourceId, int]] = field(
        default_factory=dict
    )


def team_resource(team: TeamId) -> ResourceId:
    """Return the resource of a team's upper limit.

    >>> team_resource(TeamId("north"))
    'team/north'
    """
    return ResourceId(f"team/{team}")


def worker_resource(vm: VmId) -> ResourceId:
    """Return the resource of a worker's slots."""
    return ResourceId(f"vm/{vm}")


def data_centre_scope(data_centre: DataCentreId) -> ScopeId:
    """Return the scope of the worker slots of `data_centre`."""
    return ScopeId(f"data-centre-{data_centre}")


def member_scopes(data_centre: DataCentreId) -> tuple[ScopeId, ...]:
    """Return the scopes that an entry VM of `data_centre` belongs to.

    >>> member_scopes(DataCentreId("a"))
    ('fleet', 'data-centre-a')
    """
    return (FLEET_SCOPE, data_centre_scope(data_centre))


def ledger_key(scope: ScopeId) -> RowKey:
    """Return the key of the ledger of `scope`."""
    return RowKey(f"{ALLOTMENT_PREFIX}{scope}/ledger")


def holder_prefix(scope: ScopeId) -> RowKey:
    """Return the prefix of the keys of all holders of `scope`."""
    return RowKey(f"{ALLOTMENT_PREFIX}{scope}/holder/")


def holder_key(scope: ScopeId, holder: IncarnationId) -> RowKey:
    """Return the key of one holder's row."""
    return RowKey(f"{holder_prefix(scope)}{holder}")
