"""Orders for VMs that a scheduler has sent, as the next one has to regard them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._owner_lease import ListedVmOrder
from currantstage.state.jobs import VmOrderOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_table import VmOrder
    from currantstage.state import VmId
    from currantstage.state.jobs import WorkerId

#: Added to the minimum interval between orders of two schedulers, in seconds.
COOLDOWN_MARGIN_S = 0.4


@dataclass(slots=True)
class _RecordedOrder:
    """An order for a VM.

    Parameters
    ----------
    vm : VmId
    worker : WorkerId
        The worker that it ends.
    is_upkeep : bool
    wave : int, optional
        The wave of the maintenance, if it is known.
    called_s : float, optional
        When its last call ended, so that it was sent by then; None until it has.
    is_open : bool
        Whether it may still be carried out, as far as its answers tell.
    """

    vm: VmId
    worker: WorkerId
    is_upkeep: bool
    wave: int | None = None
    called_s: float | None = None
    is_open: bool = True

    @property
    def is_open_upkeep(self) -> bool:
        """Whether it is for maintenance that may still be carried out."""
        return self.is_upkeep and self.is_open

    def age_s(self, now_s: float) -> float:
        """Return how long ago it was sent at the latest; zero until its call ends."""
        return 0.0 if self.called_s is None else max(0.0, now_s - self.called_s)


class VmOrderCooldown:
    """Tracks the VMs for which orders were sent recently.

    A scheduler writes these orders into its lease before it sends them. The next
    scheduler waits before it sends orders for just these VMs, and may send orders for
    all others at once. The time counts from the order, however often the lease has been
    taken over since.

    A maintenance order without an answer may be carried out late, until the VM has seen
    the term of a later scheduler. So it stays listed for longer, and the next scheduler
    counts its VM as down until an order of its own has been answered.

    Parameters
    ----------
    inherited : iterable of ListedVmOrder
        Orders that the lease listed when it was taken.
    taken_s : float
        When the lease was taken.
    tuning : SchedulerTuning
    """

    def __init__(
        self,
        inherited: Iterable[ListedVmOrder],
        taken_s: float,
        tuning: SchedulerTuning,
    ) -> None:
        #: Orders that the lease listed when it was taken.
        self.inherited = tuple(inherited)
        self._cooldown_s = tuning.vm_lease_ms / 1000 + COOLDOWN_MARGIN_S
        self._max_delay_s = tuning.max_order_delay_ms / 1000
        self._earlier = [
            _RecordedOrder(
                vm=each.vm,
                worker=each.worker,
                is_upkeep=each.is_upkeep,
                wave=each.wave,
                called_s=taken_s - each.age_ms / 1000,
                is_open=each.is_open,
            )
            for each in self.inherited
        ]
        self._own: dict[VmId, _RecordedOrder] = {}

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether the cooldown after orders of earlier schedulers is over."""
        return all(
            each.age_s(now_s) >= self._cooldown_s
            for each in self._earlier
            if each.vm == vm
        )

    def record_order(self, order: VmOrder) -> None:
        """Record that an order is about to be sent."""
        self._own[order.vm] = _RecordedOrder(
            order.vm, order.worker, order.is_upkeep, order.wave
        )

    def record_outcome(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> None:
        """Record that the call of an order has ended."""
        own = self._own.get(order.vm)
        if own is None:
            return
        own.called_s = now_s
        if outcome is VmOrderOutcome.DONE and not own.is_upkeep:
            own.is_open = False

    def settle_upkeep(self, vm: VmId, wave: int) -> None:
        """Record that no maintenance of a VM for a wave can be carried out any more."""
        for order in self._orders():
            if order.vm == vm and order.is_upkeep and order.wave in (wave, None):
                order.is_open = False

    def inherited_upkeeps(self, vm: VmId, now_s: float) -> list[int | None]:
        """Return the waves for which a VM may go down by an earlier scheduler's order.

        Orders of this scheduler are known by the state of their VMs.
        """
        return [
            each.wave
            for each in self._earlier
            if each.vm == vm
            and each.is_open_upkeep
            and each.age_s(now_s) < self._max_delay_s
        ]

    def listed(self, now_s: float) -> tuple[ListedVmOrder, ...]:
        """Return the orders that the lease has to list."""
        return tuple(
            ListedVmOrder(
                vm=each.vm,
                worker=each.worker,
                age_ms=int(each.age_s(now_s) * 1000),
                is_upkeep=each.is_upkeep,
                wave=each.wave,
                is_open=each.is_open,
            )
            for each in self._orders()
            if each.age_s(now_s) < self._listing_s(each)
        )

    def is_listed(self, vm: VmId, now_s: float) -> bool:
        """Return whether the lease lists an order for a VM."""
        return any(each.vm == vm for each in self.listed(now_s))

    def open_upkeeps(self, now_s: float) -> tuple[VmId, ...]:
        """Return the VMs with maintenance orders that may still be carried out."""
        vms = {
            each.vm
            for each in self._orders()
            if each.is_open_upkeep and each.age_s(now_s) < self._max_delay_s
        }
        return tuple(sorted(vms))

    def recent(self, now_s: float) -> tuple[VmId, ...]:
        """Return the VMs for which orders were sent within the cooldown."""
        vms = {
            each.vm for each in self._orders() if each.age_s(now_s) < self._cooldown_s
        }
        return tuple(sorted(vms))

    def _orders(self) -> list[_RecordedOrder]:
        return [*self._earlier, *self._own.values()]

    def _listing_s(self, order: _RecordedOrder) -> float:
        """Return up to which age an order is listed.

        One that may be carried out late is listed a cooldown longer than that, so that
        the next scheduler knows which worker it has ended.
        """
        return self._cooldown_s + (self._max_delay_s if order.is_open else 0.0)
