"""Assemble the components that process a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from currantstage.application._caller_service import QueueService
from currantstage.application._dispatch_driver import DispatchDriver
from currantstage.application._server_monitor import ServerMonitor
from currantstage.coordination.requests import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_REQUEST,
    Dispatcher,
    FaultTracker,
    LeastLoaded,
    OutlierDetector,
    RunTimeEstimates,
    ServerHealth,
    Topology,
    WorkerCapacity,
)
from currantstage.coordination.store import RetryBudget
from currantstage.transport import BackendClient

if TYPE_CHECKING:
    from currantstage.application._metrics import DaemonMetrics
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.requests import (
        SharePolicy,
        TeamLimiter,
        UsageView,
        WorkerSlots,
    )
    from currantstage.state import Clock, DataCentreId, IncarnationId, Random


class RequestPath:
    """The components that process the requests of one daemon.

    Parameters
    ----------
    configuration : Configuration
    health : ServerHealth
    outliers : OutlierDetector
    backends : BackendClient
    driver : DispatchDriver
    monitor : ServerMonitor
    queues : QueueService
    """

    def __init__(
        self,
        configuration: Configuration,
        health: ServerHealth,
        outliers: OutlierDetector,
        backends: BackendClient,
        driver: DispatchDriver,
        monitor: ServerMonitor,
        queues: QueueService,
    ) -> None:
        self._configuration = configuration
        self._health = health
        self._outliers = outliers
        self.backends = backends
        self.driver = driver
        self.monitor = monitor
        self.queues = queues

    @classmethod
    def build(
        cls,
        configuration: Configuration,
        data_centre: DataCentreId,
        limiter: TeamLimiter,
        slots: WorkerSlots,
        shares: SharePolicy,
        usage: UsageView,
        metrics: DaemonMetrics,
        clock: Clock,
        random: Random,
        incarnation: IncarnationId,
    ) -> Self:
        """Build the request path with its policies."""
        topology = Topology(configuration, data_centre)
        health = ServerHealth()
        outliers = OutlierDetector()
        estimates = RunTimeEstimates()
        backends = BackendClient()
        dispatcher = Dispatcher(
            topology,
            limiter,
            shares,
            usage,
            LeastLoaded(random),
            WorkerCapacity(topology, slots, health, outliers),
            estimates,
        )
        driver = DispatchDriver(dispatcher, metrics, clock)
        monitor = ServerMonitor(
            FaultTracker(topology, health, outliers, estimates),
            health,
            configuration,
            backends,
            metrics,
            clock,
        )
        queues = QueueService(
            driver,
            backends,
            monitor,
            RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST),
            metrics,
            clock,
            random,
            incarnation,
        )
        return cls(configuration, health, outliers, backends, driver, monitor, queues)

    def apply_fleet(self) -> None:
        """Apply a new fleet."""
        vms = self._configuration.fleet.vms
        self._health.retain(vms)
        self._outliers.retain(vms)
        self.driver.start_waiting()

    async def probe_servers(self) -> None:
        """Probe the servers that are due, and start requests on recovered ones."""
        await self.monitor.probe_due()
        self.driver.start_waiting()
