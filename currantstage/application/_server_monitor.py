"""Monitor the backend servers: connection renewal, probes, ejections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination.requests import Answer, SendFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantstage.application._metrics import DaemonMetrics
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.requests import (
        Assignment,
        FaultTracker,
        ServerHealth,
    )
    from currantstage.state import Clock, QueueId, VmId
    from currantstage.transport import BackendClient


class ServerMonitor:
    """Passes results to the fault tracker and carries out its decisions.

    Parameters
    ----------
    tracker : FaultTracker
    health : ServerHealth
    configuration : Configuration
    backends : BackendClient
    metrics : DaemonMetrics
    clock : Clock
    """

    def __init__(
        self,
        tracker: FaultTracker,
        health: ServerHealth,
        configuration: Configuration,
        backends: BackendClient,
        metrics: DaemonMetrics,
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._health = health
        self._configuration = configuration
        self._backends = backends
        self._metrics = metrics
        self._clock = clock
        self._wake_probes: Callable[[], None] | None = None

    def on_probe_needed(self, wake_probes: Callable[[], None]) -> None:
        """Call `wake_probes` when a server has to be probed."""
        self._wake_probes = wake_probes

    def silence_timeout_s(self, queue: QueueId) -> float:
        """Return how long a connection may be without progress, in seconds."""
        return self._tracker.silence_timeout_s(queue)

    async def on_result(
        self, assignment: Assignment, result: Answer | SendFailure
    ) -> None:
        """Process the result of one attempt."""
        self._tracker.on_result(assignment, result, self._clock.now_s())
        if isinstance(result, Answer):
            return
        vm = assignment.vm
        log_message(
            "currantstage:attempt-failed",
            request=assignment.request.request_id,
            vm=vm.vm_id,
            failure=result.value,
        )
        if result is not SendFailure.NOT_SENT:
            await self._backends.replace_connections(vm)
        if self._wake_probes is not None:
            self._wake_probes()

    def on_end(self, failed_on: Sequence[VmId], completed_on: VmId | None) -> None:
        """Attribute the failed attempts of a request that has ended."""
        ejected = self._tracker.on_end(failed_on, completed_on, self._clock.now_s())
        for vm in ejected:
            self._metrics.count_ejection(vm)
            log_message("currantstage:ejected", vm=vm)

    async def probe_due(self) -> bool:
        """Probe servers that are due, on new connections; return whether any were."""
        due = self._health.due_probes(self._clock.now_s())
        await asyncio.gather(*(self._probe(vm) for vm in due))
        return bool(due)

    async def _probe(self, vm_id: VmId) -> None:
        vm = self._configuration.fleet.vms.get(vm_id)
        is_answered = vm is None or await self._backends.probe(vm)
        self._health.on_probe(vm_id, is_answered, self._clock.now_s())
        log_message("currantstage:probed", vm=vm_id, is_answered=is_answered)
