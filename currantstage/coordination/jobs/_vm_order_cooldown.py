"""Orders for VMs that a scheduler has sent, as the next one has to regard them."""

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

    A maintenance order without an answer may be carried out late, until the VM has seen
    the term of a later scheduler. So these VMs are listed by themselves, and the next
    scheduler counts them as down until an order of its own has been answered.

    Parameters
    ----------
    inherited : iterable of VmId
        VMs that the lease listed when it was taken.
    taken_s : float
        When the lease was taken.
    tuning : SchedulerTuning
    inherited_upkeeps : iterable of VmId
        VMs whose maintenance was ordered and not settled by then.
    """

    def __init__(
        self,
        inherited: Iterable[VmId],
        taken_s: float,
        tuning: SchedulerTuning,
        inherited_upkeeps: Iterable[VmId] = (),
    ) -> None:
        self._cooldown_s = tuning.vm_lease_ms / 1000 + COOLDOWN_MARGIN_S
        self._inherited = frozenset(inherited)
        self._taken_s = taken_s
        self._ordered_s: dict[VmId, float] = {}
        self._inherited_upkeeps = set(inherited_upkeeps)
        self._inherited_until_s = taken_s + tuning.max_order_delay_ms / 1000
        self._sent_upkeeps: set[VmId] = set()

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether the cooldown after orders of earlier schedulers is over."""
        return vm not in self._inherited or now_s >= self._taken_s + self._cooldown_s

    def record_order(self, vm: VmId, now_s: float) -> None:
        """Record that an order for a VM is about to be sent."""
        self._ordered_s[vm] = now_s

    def record_upkeep(self, vm: VmId) -> None:
        """Record that a maintenance order for a VM is about to be sent."""
        self._sent_upkeeps.add(vm)

    def settle_upkeep(self, vm: VmId) -> None:
        """Record that no maintenance order for a VM can be carried out any more."""
        self._sent_upkeeps.discard(vm)
        self._inherited_upkeeps.discard(vm)

    def has_inherited_upkeep(self, vm: VmId, now_s: float) -> bool:
        """Return whether an earlier scheduler's maintenance order may be carried out.

        Orders of this scheduler are known by the state of their VMs.
        """
        return vm in self._inherited_upkeeps and now_s < self._inherited_until_s

    def open_upkeeps(self, now_s: float) -> tuple[VmId, ...]:
        """Return the VMs with maintenance orders that the lease has to list."""
        inherited = {
            vm for vm in self._inherited_upkeeps if self.has_inherited_upkeep(vm, now_s)
        }
        return tuple(sorted(self._sent_upkeeps | inherited))

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
