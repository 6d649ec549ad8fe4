"""Index of the workers that serve each queue from one data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.membership._configuration import Configuration
    from currantstage.state import DataCentreId, Fleet, PoolId, QueueId, Vm, VmId


class Topology:
    """Looks up workers by queue and pool, for one data centre.

    The index is rebuilt when a new generation of the fleet comes into force.

    Parameters
    ----------
    configuration : Configuration
    data_centre : DataCentreId
    """

    def __init__(self, configuration: Configuration, data_centre: DataCentreId) -> None:
        self._configuration = configuration
        self._data_centre = data_centre
        self._indexed_fleet: Fleet | None = None
        self._vms_of_pool: dict[PoolId, tuple[Vm, ...]] = {}
        self._vms_of_queue: dict[QueueId, tuple[Vm, ...]] = {}

    @property
    def fleet(self) -> Fleet:
        """The fleet in force, with each VM in the pool whose work it accepts."""
        return self._configuration.serving_fleet

    def accepts_work(self, vm: VmId) -> bool:
        """Return whether the placement allows new work on `vm`."""
        return self._configuration.accepts_work(vm)

    def may_serve_keyed(self, now_s: float) -> bool:
        """Return whether requests that need a key may be admitted or started."""
        return self._configuration.may_serve_keyed(now_s)

    def vms_of_queue(self, queue: QueueId) -> tuple[Vm, ...]:
        """Return the workers of this data centre that serve `queue`."""
        self._refresh()
        return self._vms_of_queue.get(queue, ())

    def vm_ids_of_pool(self, pool: PoolId) -> tuple[VmId, ...]:
        """Return the workers of `pool`, or none if it is in another data centre."""
        self._refresh()
        return tuple(vm.vm_id for vm in self._vms_of_pool.get(pool, ()))

    def _refresh(self) -> None:
        fleet = self._configuration.serving_fleet
        if fleet is self._indexed_fleet:
            return
        members: dict[PoolId, list[Vm]] = {
            pool.pool_id: []
            for pool in fleet.pools.values()
            if pool.data_centre == self._data_centre
        }
        for vm in fleet.vms.values():
            if vm.pool in members:
                members[vm.pool].append(vm)
        self._vms_of_pool = {pool: tuple(vms) for pool, vms in members.items()}
        self._vms_of_queue = {
            queue.queue_id: tuple(
                vm for pool in queue.pools for vm in self._vms_of_pool.get(pool, ())
            )
            for queue in fleet.queues.values()
        }
        self._indexed_fleet = fleet
