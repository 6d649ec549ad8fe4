"""Which workers have ended, by the platform's list of VMs."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from currantstage.state.jobs import VmCondition, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._owner_lease import ListedVmOrder
    from currantstage.state import VmId
    from currantstage.state.jobs import VmRecord

#: Conditions that only an order brings about, and in which nothing runs on a VM.
PLANNED_CONDITIONS = (VmCondition.MOVING, VmCondition.MAINTENANCE)


class VmWorkers:
    """Workers that VMs have had, as far as they are not known to have ended.

    A worker has one VM for all its life, and a VM has one worker at a time. So a worker
    that an earlier list has shown on a VM has ended once a later one shows the VM at
    planned work, or up with another worker. A VM that is down or missing shows nothing,
    nor does one without a worker; a worker that has restarted keeps its id.

    Parameters
    ----------
    ordered : iterable of ListedVmOrder
        Orders of earlier schedulers, with the workers that these have seen.
    """

    def __init__(self, ordered: Iterable[ListedVmOrder]) -> None:
        self._workers: defaultdict[VmId, set[WorkerId]] = defaultdict(set)
        for order in ordered:
            if order.worker:
                self._workers[order.vm].add(order.worker)

    def observe(self, record: VmRecord) -> set[WorkerId]:
        """Apply an entry of a later list; return the workers that it shows as ended."""
        if record.condition in PLANNED_CONDITIONS:
            # A worker that it names may be the next one.
            return self._workers.pop(record.vm, set())
        if record.condition is not VmCondition.UP or not record.worker:
            return set()
        ended = self._workers[record.vm] - {record.worker}
        self._workers[record.vm] = {record.worker}
        return ended
