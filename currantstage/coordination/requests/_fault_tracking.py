"""Derive server health, outliers and run times from the results of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.requests._attempts import is_server_error
from currantstage.coordination.requests._outcomes import Answer, SendFailure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.requests._connection_health import ServerHealth
    from currantstage.coordination.requests._dispatch_effects import Assignment
    from currantstage.coordination.requests._estimates import RunTimeEstimates
    from currantstage.coordination.requests._outliers import OutlierDetector
    from currantstage.coordination.requests._topology import Topology
    from currantstage.state import QueueId, VmId

#: Multiple of a queue's long run times after which a connection counts as silent.
SILENCE_TIMEOUT_FACTOR = 3.0
#: Quantile of the run times that counts as a long run time.
LONG_RUN_QUANTILE = 0.99
#: Shortest silence timeout, in seconds.
MIN_SILENCE_TIMEOUT_S = 1.0
#: Silence timeout while the run times are unknown, in seconds.
DEFAULT_SILENCE_TIMEOUT_S = 10.0


class FaultTracker:
    """Passes results of requests on to health, outlier detection and estimates.

    Parameters
    ----------
    topology : Topology
    health : ServerHealth
    outliers : OutlierDetector
    estimates : RunTimeEstimates
    """

    def __init__(
        self,
        topology: Topology,
        health: ServerHealth,
        outliers: OutlierDetector,
        estimates: RunTimeEstimates,
    ) -> None:
        self._topology = topology
        self._health = health
        self._outliers = outliers
        self._estimates = estimates

    def silence_timeout_s(self, queue: QueueId) -> float:
        """Return how long a connection may go without progress, in seconds."""
        long_s = self._estimates.quantile_s(queue, LONG_RUN_QUANTILE)
        if long_s is None:
            return DEFAULT_SILENCE_TIMEOUT_S
        return max(long_s * SILENCE_TIMEOUT_FACTOR, MIN_SILENCE_TIMEOUT_S)

    def on_result(
        self, assignment: Assignment, result: Answer | SendFailure, now_s: float
    ) -> None:
        """Record the result of one attempt."""
        queue = assignment.request.queue
        duration_s = now_s - assignment.started_s
        if isinstance(result, Answer):
            if not is_server_error(result):
                self._estimates.observe(queue, duration_s)
            return
        if result is SendFailure.SILENT:
            # The true run time is longer than the timeout. Without this observation
            # the timeout could never grow.
            self._estimates.observe(queue, 2 * duration_s / SILENCE_TIMEOUT_FACTOR)
        self._health.on_connection_failed(assignment.vm.vm_id, now_s)

    def on_end(
        self, failed_on: Sequence[VmId], completed_on: VmId | None, now_s: float
    ) -> list[VmId]:
        """Attribute the failed attempts of a request that has ended to workers.

        If a request failed on several workers and completed on none, the request
        itself is presumed faulty and no worker is charged with a failure.

        Returns
        -------
        list of VmId
            The workers ejected as a result.
        """
        ejected: list[VmId] = []
        if completed_on is not None:
            self._outliers.on_success(completed_on)
        elif len(set(failed_on)) > 1:
            return ejected
        for vm_id in failed_on:
            vm = self._topology.fleet.vms.get(vm_id)
            if vm is None:
                continue
            pool = self._topology.vm_ids_of_pool(vm.pool)
            if self._outliers.on_failure(vm_id, pool, now_s):
                ejected.append(vm_id)
        return ejected
