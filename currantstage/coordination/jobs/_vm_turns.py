"""Keeps the orders of two schedulers about one VM apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state import VmId

#: Added to the time that orders of two schedulers have to lie apart, in seconds.
TURN_MARGIN_S = 0.4


class VmTurns:
    """Which VMs have been ordered lately.

    A scheduler names them in its lease before it orders them, so that the next one
    leaves just these alone for a while, and orders all others at once.

    Parameters
    ----------
    inherited : iterable of VmId
        VMs that the lease named when it was taken.
    taken_s : float
        When it was taken.
    tuning : SchedulerTuning
    """

    def __init__(
        self, inherited: Iterable[VmId], taken_s: float, tuning: SchedulerTuning
    ) -> None:
        self._gap_s = tuning.vm_lease_ms / 1000 + TURN_MARGIN_S
        self._inherited = frozenset(inherited)
        self._taken_s = taken_s
        self._ordered_s: dict[VmId, float] = {}

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether the orders of earlier schedulers lie far enough back."""
        return vm not in self._inherited or now_s >= self._taken_s + self._gap_s

    def note(self, vm: VmId, now_s: float) -> None:
        """Record that a VM is about to be ordered."""
        self._ordered_s[vm] = now_s

    def recent(self, now_s: float) -> tuple[VmId, ...]:
        """Return the VMs that the lease has to name."""
        recent = {
            vm for vm, at_s in self._ordered_s.items() if now_s < at_s + self._gap_s
        }
        if now_s < self._taken_s + self._gap_s:
            recent |= self._inherited
        return tuple(sorted(recent))
