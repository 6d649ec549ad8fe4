"""The daemon that schedules jobs: start-up, shutdown and wiring of the layers."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from eliot import log_message

from currantstage.application._errors import StartError
from currantstage.application.jobs._core import JobCore
from currantstage.application.jobs._metrics import JobMetrics
from currantstage.application.jobs._ports import SchedulerPorts
from currantstage.coordination.jobs import SchedulerCapacity
from currantstage.platform import (
    AdviceClient,
    MachineClient,
    OperatorRows,
    PlatformHttp,
    StoreClient,
    WorkerClient,
    WorkerRows,
    add_front_routes,
    add_readiness_route,
)
from currantstage.protocol.jobs import MemberRow
from currantstage.transport import (
    HttpServer,
    JobPeerClient,
    TransportError,
    add_health_routes,
    add_job_peer_route,
    add_job_routes,
)
from currantstage.util import MonotonicClock, StepFilteredUnixClock, UnixClock

if TYPE_CHECKING:
    from currantstage.application._daemon import Component
    from currantstage.config import JobSettings

#: Maximum size of a caller's request body, in bytes; the configuration may set less.
MAX_BODY_BYTES = 1024 * 1024
#: Maximum size of a message between daemons, in bytes.
MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024


class JobDaemon:
    """Daemon of one entry VM that schedules jobs on the platform's store.

    Parameters
    ----------
    settings : JobSettings
    random : random.Random
        Source of all randomness in the daemon.
    """

    def __init__(self, settings: JobSettings, random: random.Random) -> None:
        self._settings = settings
        self._resources = AsyncExitStack()
        self._is_stopping = False
        self._servers: list[HttpServer] = []
        self._metrics = JobMetrics()
        clock = MonotonicClock()
        own = MemberRow(
            entry_vm=settings.entry_vm.id,
            peer_address=settings.entry_vm.peer_address,
            capacity=SchedulerCapacity(
                link_mbps=settings.entry_vm.link_mbps,
                cpu_cores=settings.entry_vm.cpu_share * settings.entry_vm.cpu_speed,
            ),
        )
        self._http = PlatformHttp()
        self._peer_client = JobPeerClient()
        store = StoreClient(self._http, settings.store.address)
        ports = SchedulerPorts(
            workers=WorkerRows(store),
            operators=OperatorRows(store),
            orders=WorkerClient(self._http),
            vms=MachineClient(self._http, settings.vms.address, own.entry_vm),
            advice=self._build_advice_client(settings),
            clock=clock,
            unix_clock=StepFilteredUnixClock(clock, UnixClock()),
            metrics=self._metrics,
        )
        self._core = JobCore(
            own,
            settings.peers.addresses,
            store,
            ports,
            self._peer_client,
            settings.scheduler,
            random,
            settings.configuration.apply_ms / 1000,
        )
        self._metrics.observe_scheduler(self._core.is_scheduler)

    @classmethod
    def from_config(cls, settings: JobSettings, seed: int | None = None) -> Self:
        """Create a daemon from `settings`; `seed` makes random choices repeatable."""
        return cls(settings, random.Random(seed))

    async def start(self) -> None:
        """Start all components; on failure, close them and raise `StartError`."""
        try:
            await self._start_components()
        except TransportError as error:
            await self._resources.aclose()
            raise StartError(str(error)) from error
        log_message("currantstage:started", entry_vm=self._settings.entry_vm.id)

    async def close(self) -> None:
        """Shut down gracefully: release the lease and drain the calls in progress.

        Callers on open connections leave during the load balancer's notice, as each of
        these is closed after a response.
        """
        log_message("currantstage:stopping", entry_vm=self._settings.entry_vm.id)
        self._is_stopping = True
        for server in self._servers:
            server.close_after_responses()
        notice_s = self._settings.serving.balancer_notice_ms / 1000
        await asyncio.gather(self._core.ownership.close(), asyncio.sleep(notice_s))
        await self._drain_calls()
        await self._resources.aclose()
        log_message("currantstage:stopped", entry_vm=self._settings.entry_vm.id)

    def reload(self, settings: JobSettings) -> None:
        """Apply changed settings; addresses take effect only after a restart."""
        self._core.ownership.update_tuning(settings.scheduler)

    def is_ready(self) -> bool:
        """Return whether this daemon accepts new calls."""
        is_usable = self._core.is_configured() and not self._core.is_isolated()
        return not self._is_stopping and is_usable

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    async def _start_components(self) -> None:
        self._resources.callback(self._metrics.close)
        await self._start_component(self._http)
        await self._start_component(self._peer_client)
        await self._start_component(self._core.follower)
        await self._start_component(self._core.directory)
        self._servers = self._build_servers()
        for server in self._servers:
            self._resources.push_async_callback(server.close)
        for server in self._servers:
            await server.start()
        await self._start_component(self._core.ownership)

    async def _drain_calls(self) -> None:
        max_drain_s = self._settings.serving.max_drain_ms / 1000
        drained = await asyncio.gather(
            *(server.drain(max_drain_s) for server in self._servers)
        )
        if not all(drained):
            log_message(
                "currantstage:calls-aborted", reason="still running after max_drain_ms"
            )

    async def _start_component(self, component: Component) -> None:
        """Start `component`, and close it in reverse order later."""
        self._resources.push_async_callback(component.close)
        await component.start()

    def _build_advice_client(self, settings: JobSettings) -> AdviceClient | None:
        if settings.advice is None:
            return None
        return AdviceClient(self._http, settings.advice.address)

    def _build_servers(self) -> list[HttpServer]:
        addresses = self._settings.callers
        own = self._settings.entry_vm
        peers = HttpServer("job-peers", own.peer_address, MAX_PEER_MESSAGE_BYTES)
        add_job_peer_route(peers.app, self._core.query_handler.handle)
        health = HttpServer("health", own.http_address, MAX_BODY_BYTES)
        add_health_routes(health.app, self)
        add_job_routes(health.app, self._core.calls)
        front = HttpServer("front", addresses.front_address, MAX_BODY_BYTES)
        add_front_routes(front.app, self._core.calls)
        readiness = HttpServer("readiness", addresses.readiness_address, MAX_BODY_BYTES)
        add_readiness_route(readiness.app, self.is_ready)
        return [peers, health, front, readiness]
