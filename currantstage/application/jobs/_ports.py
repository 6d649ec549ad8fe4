"""Ports that the scheduler's services depend on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.application.jobs._metrics import JobMetrics
    from currantstage.state import Clock
    from currantstage.state.jobs import (
        AdviceSource,
        OperatorSource,
        VmOrders,
        WorkerOrders,
        WorkerSource,
    )


@dataclass(frozen=True, slots=True)
class SchedulerPorts:
    """Ports to workers, VMs and clocks, and the metrics of the daemon.

    The source of advice is None at a site without such a service.
    """

    workers: WorkerSource
    operators: OperatorSource
    orders: WorkerOrders
    vms: VmOrders
    advice: AdviceSource | None
    clock: Clock
    unix_clock: Clock
    metrics: JobMetrics
