"""Derive the liveness of VMs from the platform's eventually consistent list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.state import VmLiveness

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import ListedVm, VmId

#: Time for which a VM that was never listed counts as live, in seconds: the list
#: lags behind the release note that adds the VM.
UNLISTED_GRACE_S = 60.0


class VmListing:
    """Tracks listed VMs to distinguish VMs not listed yet from removed ones."""

    def __init__(self) -> None:
        self._liveness: dict[VmId, VmLiveness] = {}
        self._was_listed: set[VmId] = set()
        self._expected_since_s: dict[VmId, float] = {}

    def observe(self, listed: Iterable[ListedVm]) -> None:
        """Record the current content of the list.

        An empty list is ignored: it does not prove that the whole fleet was removed.
        """
        liveness = {entry.vm_id: entry.liveness for entry in listed}
        if liveness:
            self._liveness = liveness
            self._was_listed.update(liveness)

    def liveness(
        self, expected: Iterable[VmId], now_s: float
    ) -> Mapping[VmId, VmLiveness]:
        """Return the liveness of the `expected` VMs, without removed ones.

        Parameters
        ----------
        expected : iterable of VmId
            The VMs of the fleet.
        now_s : float
            Monotonic time, in seconds.
        """
        known = dict(self._liveness)
        for vm in expected:
            if vm not in self._was_listed and self._is_in_grace_period(vm, now_s):
                known[vm] = VmLiveness.LIVE
        return known

    def _is_in_grace_period(self, vm: VmId, now_s: float) -> bool:
        if not self._liveness:
            return True
        since_s = self._expected_since_s.setdefault(vm, now_s)
        return now_s - since_s < UNLISTED_GRACE_S
