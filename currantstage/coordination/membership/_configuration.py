"""The configuration in force at one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination.membership._config_lease import ConfigLease
from currantstage.state import Fleet, Generation

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.state import PoolId, Vm, VmId


class Configuration:
    """Holds the newest fleet that this entry VM has applied, and its lease.

    Generations never decrease: an older fleet is ignored.
    """

    def __init__(self) -> None:
        self._fleet = Fleet()
        self._listeners: list[Callable[[], None]] = []
        self.lease = ConfigLease()
        self._pools: Mapping[VmId, PoolId] | None = None
        self._serving_fleet = self._fleet

    @property
    def fleet(self) -> Fleet:
        """The fleet in force."""
        return self._fleet

    def on_apply(self, listener: Callable[[], None]) -> None:
        """Call `listener` as part of each successful `apply`.

        The entry VM's row states the new generation only after all listeners ran.
        """
        self._listeners.append(listener)

    def may_serve_keyed(self, now_s: float) -> bool:
        """Return whether work that needs a key may be admitted or started.

        Once the lease has expired, a newer generation may have been accepted without
        this entry VM, and keys that it still knows may have been withdrawn.
        """
        return self.lease.is_held(now_s)

    @property
    def serving_fleet(self) -> Fleet:
        """The fleet in force, with each VM in the pool whose work it accepts.

        A VM changes pools once it has been drained, not when a note is applied.
        """
        return self._serving_fleet

    def accepts_work(self, vm: VmId) -> bool:
        """Return whether the placement allows new work on `vm`.

        Before the data centre has its first placement, every VM of the fleet may
        get work.
        """
        return self._pools is None or vm in self._pools

    def set_placement(self, pools: Mapping[VmId, PoolId] | None) -> None:
        """Set the pool whose work each VM of this data centre accepts."""
        self._pools = pools
        vms = {vm.vm_id: _placed(vm, pools or {}) for vm in self._fleet.vms.values()}
        self._serving_fleet = replace(self._fleet, vms=vms)

    def is_behind(self, generation: Generation) -> bool:
        """Return whether `generation` is newer than the one in force."""
        return generation > self._fleet.generation

    def apply(self, fleet: Fleet) -> bool:
        """Put `fleet` in force; return False if it is not newer."""
        if not self.is_behind(fleet.generation):
            return False
        self._fleet = fleet
        self.set_placement(self._pools)
        for listener in self._listeners:
            listener()
        return True


def _placed(vm: Vm, pools: Mapping[VmId, PoolId]) -> Vm:
    pool = pools.get(vm.vm_id, vm.pool)
    return vm if pool == vm.pool else replace(vm, pool=pool)
