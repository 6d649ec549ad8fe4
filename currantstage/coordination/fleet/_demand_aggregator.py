"""Compute the demand of each pool from the reports of the entry VMs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.state import DataCentreId, EntryVmId, Fleet, PoolId, QueueId, Vm

#: Age at which a report expires, in seconds.
REPORT_MAX_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Running and waiting requests of one entry VM.

    Parameters
    ----------
    data_centre : DataCentreId
    slots_of_queue : mapping of QueueId to int
    """

    data_centre: DataCentreId
    slots_of_queue: Mapping[QueueId, int]


class DemandAggregator:
    """Aggregates the latest reports of the entry VMs into demand by pool."""

    def __init__(self) -> None:
        self._reports: dict[EntryVmId, tuple[float, DemandReport]] = {}

    def receive(self, sender: EntryVmId, report: DemandReport, now_s: float) -> None:
        """Store a report, replacing the previous one of the same sender."""
        self._reports[sender] = (now_s, report)

    def demand_vms(self, fleet: Fleet, now_s: float) -> dict[PoolId, float]:
        """Return the demand of each pool, in VMs that it would occupy.

        The demand of a queue that several pools of a data centre serve is divided
        among them in proportion to their numbers of VMs.
        """
        self._drop_expired(now_s)
        members = _members(fleet)
        demand = dict.fromkeys(fleet.pools, 0.0)
        for _, report in self._reports.values():
            for queue, slots in report.slots_of_queue.items():
                for pool, fraction in _split(fleet, members, report.data_centre, queue):
                    demand[pool] += fraction * slots / _slots_per_vm(members[pool])
        return demand

    def _drop_expired(self, now_s: float) -> None:
        self._reports = {
            sender: (at_s, report)
            for sender, (at_s, report) in self._reports.items()
            if now_s - at_s < REPORT_MAX_AGE_S
        }


def max_vms_per_pool(fleet: Fleet) -> int:
    """Return the size of the largest pool with all spare VMs of its data centre."""
    sizes = Counter(vm.pool for vm in fleet.vms.values())
    spare: Counter[DataCentreId] = Counter()
    for pool in fleet.pools.values():
        if pool.is_spare:
            spare[pool.data_centre] += sizes[pool.pool_id]
    return max(
        (
            sizes[pool.pool_id] + spare[pool.data_centre]
            for pool in fleet.pools.values()
        ),
        default=0,
    )


def _members(fleet: Fleet) -> dict[PoolId, list[Vm]]:
    members: dict[PoolId, list[Vm]] = {pool: [] for pool in fleet.pools}
    for vm in fleet.vms.values():
        members[vm.pool].append(vm)
    return members


def _split(
    fleet: Fleet,
    members: Mapping[PoolId, list[Vm]],
    data_centre: DataCentreId,
    queue_id: QueueId,
) -> list[tuple[PoolId, float]]:
    """Return the pools that serve a queue in a data centre, with their fractions."""
    queue = fleet.queues.get(queue_id)
    if queue is None:
        return []
    pools = [
        pool
        for pool in queue.pools
        if fleet.pools[pool].data_centre == data_centre and members[pool]
    ]
    total = sum(len(members[pool]) for pool in pools)
    return [(pool, len(members[pool]) / total) for pool in pools]


def _slots_per_vm(vms: list[Vm]) -> float:
    return sum(vm.slots for vm in vms) / len(vms)
