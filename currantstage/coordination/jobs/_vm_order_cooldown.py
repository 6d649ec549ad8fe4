"""Minimum interval between orders of two schedulers for the same VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state import VmId

#: Added to the minimum interval between orders of two schedulers, in seconds.
COOLDOWN_MARGIN_S = 0.4


class VmOrderCooldown:
    """Tracks the VMs for which orders were sent recently.

    A scheduler writes these VMs into its lease before it sends orders for them. The
    next scheduler waits before it sends orders for just these VMs, and may send orders
    for all others at once.

    Parameters
    ----------
    inherited : iterable of VmId
        VMs that the lease listed when it was taken.
    taken_s : float
        When the lease was taken.
    tuning : SchedulerTuning
    """

    def __init__(
        self, inherited: Iterable[VmId], taken_s: float, tuning: SchedulerTuning
    ) -> None:
        self._cooldown_s = tuning.vm_lease_ms / 1000 + COOLDOWN_MARGIN_S
        self._inherited = frozenset(inherited)
        self._taken_s = taken_s
        self._ordered_s: dict[VmId, float] = {}

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether the cooldown after orders of earlier schedulers is over."""
        return vm not in self._inherited or now_s >= self._taken_s + self._cooldown_s

    def record_order(self, vm: VmId, now_s: float) -> None:
        """Record that an order for a VM is about to be sent."""
        self._ordered_s[vm] = now_s

    def recent(self, now_s: float) -> tuple[VmId, ...]:
        """Return the VMs that the lease has to list."""
        recent = {
            vm
            for vm, at_s in self._ordered_s.items()
            if now_s < at_s + self._cooldown_s
        }
        if now_s < self._taken_s + self._cooldown_s:
            recent |= self._inherited
        return tuple(sorted(recent))
