"""Times of a trial in which jobs may stand still."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.standin.served._faults import FaultKind, Service

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.standin.served._faults import Fault

#: Time after the end of such a fault that is excused too, in seconds.
RECOVERY_S = 4.0
_HARMLESS_KINDS = (FaultKind.SLOW, FaultKind.STALL)


def is_excused(now_s: float, faults: Iterable[Fault]) -> bool:
    """Return whether a fault makes it impossible to start tasks, or has just done so.

    No task can be started while no daemon reaches the store, or the workers. A daemon
    that alone is cut off, and the service for VMs, are no excuse.
    """
    return any(
        _prevents_starts(fault) and fault.start_s <= now_s < fault.end_s + RECOVERY_S
        for fault in faults
    )


def _prevents_starts(fault: Fault) -> bool:
    if fault.daemons or fault.kind in _HARMLESS_KINDS:
        return False
    return fault.service in (Service.STORE, Service.WORKERS)
