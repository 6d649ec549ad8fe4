"""What the results of requests say about connections, servers and run times."""

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

#: A connection is silent after this many times the queue's long run times.
SILENCE_TIMEOUT_FACTOR = 3.0
#: Run time that counts as long.
LONG_RUN_QUANTILE = 0.99
#: Shortest bound on silence, in seconds.
MIN_SILENCE_TIMEOUT_S = 1.0
#: Bound on silence while the run times are unknown, in seconds.
DEFAULT_SILENCE_TIMEOUT_S = 10.0


class FaultTracker:
    """Feeds the results of requests to health, outlier detection and estimates.

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
        """Return how long a connection may make no progress, in seconds."""
        long_s = self._estimates.quantile_s(queue, LONG_RUN_QUANTILE)
        if long_s is None:
            return DEFAULT_SILENCE_TIMEOUT_S
        return max(long_s * SILENCE_TIMEOUT_FACTOR, MIN_SILENCE_TIMEOUT_S)

    def on_result(
        self, assignment: Assignment, result: Answer | SendFailure, now_s: float
    ) -> None:
        """Learn from the result of one attempt."""
        queue = assignment.request.queue
        duration_s = now_s - assignment.started_s
        if isinstance(result, Answer):
            if not is_server_error(result):
                self._estimates.observe(queue, duration_s)
            return
        if result is SendFailure.SILENT:
            # The true run time is longer: without this the bound could never rise.
            self._estimates.observe(queue, 2 * duration_s / SILENCE_TIMEOUT_FACTOR)
        self._health.on_connection_failed(assignment.vm.vm_id, now_s)

    def on_end(
        self, failed_on: Sequence[VmId], completed_on: VmId | None, now_s: float
    ) -> list[VmId]:
        """Attribute the failed attempts of a request that has ended.

        A request that failed on several workers and completed on none is itself at
        fault, and counts against none of them.

        Returns
        -------
        list of VmId
            The workers that this ejects.
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
