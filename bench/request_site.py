"""The daemon's request path in this process, in front of backend stand-ins."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.application import DaemonMetrics, RequestPath
from currantstage.coordination.limits import UsageTracker, WeightedMaxMin
from currantstage.coordination.membership import Configuration
from currantstage.protocol import CallerRequest
from currantstage.standin import BackendStandIn, find_free_ports
from currantstage.state import (
    DataCentreId,
    Fleet,
    Generation,
    IncarnationId,
    Pool,
    PoolId,
    Queue,
    QueueAccess,
    QueueId,
    RackId,
    Vm,
    VmId,
)
from currantstage.util import MonotonicClock
from tests.local_limits import LocalTeamLimiter, LocalWorkerSlots

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from currantstage.protocol import CallerAnswer, CallerOptions

_QUEUE = QueueId("q")
_POOL = PoolId("p")
_DATA_CENTRE = DataCentreId("a")
_RACK_SIZE = 4


@dataclass
class RequestSite:
    """A request path, its backend servers, and the times of ejections."""

    path: RequestPath
    backends: dict[str, BackendStandIn]
    clock: MonotonicClock
    ejected_s: list[float] = field(default_factory=list)

    async def serve(self, body: bytes, options: CallerOptions) -> CallerAnswer:
        """Serve one request and return its response."""
        return await self.path.queues.serve(
            CallerRequest(
                queue=_QUEUE,
                presented_key=None,
                content_type="text/plain",
                body=body,
                options=options,
            )
        )


class _EjectionMetrics(DaemonMetrics):
    """Metrics that also record the time of each ejection."""

    def __init__(self, clock: MonotonicClock, ejected_s: list[float]) -> None:
        super().__init__()
        self._clock = clock
        self._ejected_s = ejected_s

    def count_ejection(self, vm: VmId) -> None:
        """Count one ejection of a worker and record its time."""
        super().count_ejection(vm)
        self._ejected_s.append(self._clock.now_s())


def make_fleet(addresses: dict[VmId, str]) -> Fleet:
    """Return a fleet of one pool with VMs at `addresses` and one queue without keys."""
    return Fleet(
        generation=Generation(1),
        pools={_POOL: Pool(pool_id=_POOL, data_centre=_DATA_CENTRE)},
        vms={
            vm_id: Vm(
                vm_id=vm_id,
                pool=_POOL,
                rack=RackId(f"r{index // _RACK_SIZE}"),
                address=address,
            )
            for index, (vm_id, address) in enumerate(addresses.items())
        },
        queues={
            _QUEUE: Queue(queue_id=_QUEUE, pools=(_POOL,), access=QueueAccess.OPEN)
        },
    )


@contextlib.asynccontextmanager
async def serving_path(
    workers: int, duration_s: float, rng: random.Random
) -> AsyncIterator[RequestSite]:
    """Start the backend servers and the request path in front of them."""
    addresses = {
        VmId(f"w{index}"): f"127.0.0.1:{port}"
        for index, port in enumerate(find_free_ports(workers))
    }
    configuration = Configuration()
    configuration.apply(make_fleet(addresses))
    clock = MonotonicClock()
    ejected_s: list[float] = []
    metrics = _EjectionMetrics(clock, ejected_s)
    path = RequestPath.build(
        configuration,
        _DATA_CENTRE,
        LocalTeamLimiter(configuration),
        LocalWorkerSlots(configuration),
        WeightedMaxMin(),
        UsageTracker(),
        metrics,
        clock,
        rng,
        IncarnationId("bench"),
    )
    backends = {
        vm_id: BackendStandIn(vm_id, address, duration_s)
        for vm_id, address in addresses.items()
    }
    async with contextlib.AsyncExitStack() as resources:
        resources.callback(metrics.close)
        for backend in backends.values():
            await backend.start()
            resources.push_async_callback(backend.close)
        await path.backends.start()
        resources.push_async_callback(path.backends.close)
        yield RequestSite(path, backends, clock, ejected_s)
