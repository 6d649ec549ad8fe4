"""Enforce team limits and worker slots across entry VMs by allotments."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application._allotment_service import AllotmentService
from currantstage.application._metrics import TeamAllotment
from currantstage.coordination import CoordinationError
from currantstage.coordination.limits import (
    AllotmentReceipt,
    AllotmentRequest,
    AllotmentTransfer,
    team_limits,
    worker_limits,
)
from currantstage.state import (
    FLEET_SCOPE,
    data_centre_scope,
    team_resource,
    worker_resource,
)
from currantstage.util import PeriodicTask

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import PeerFrame
    from currantstage.state import Clock, EntryVmRow, PeerLink, TeamId, VmId

#: Interval between settlements with the table, in seconds.
SETTLE_INTERVAL_S = 1.0
#: Interval between rounds of resending and rebalancing transfers, in seconds.
EXCHANGE_INTERVAL_S = 0.5


class AllottedTeamLimiter:
    """Implements `TeamLimiter` by allotments of the teams' upper limits."""

    def __init__(self, service: AllotmentService) -> None:
        self._service = service

    def try_acquire(self, team: TeamId) -> bool:
        """Acquire one slot of the team's upper limit; return False if none is left."""
        return self._service.try_acquire(team_resource(team))

    def release(self, team: TeamId) -> None:
        """Release one slot."""
        self._service.release(team_resource(team))


class AllottedWorkerSlots:
    """Implements `WorkerSlots` by allotments of the workers' slots."""

    def __init__(self, service: AllotmentService) -> None:
        self._service = service

    def free_slots(self, vm: VmId) -> int:
        """Return how many slots of `vm` this entry VM may still acquire."""
        return self._service.startable_slots(worker_resource(vm))

    def try_acquire(self, vm: VmId) -> bool:
        """Acquire one slot of `vm`; return False if this entry VM has none left."""
        return self._service.try_acquire(worker_resource(vm))

    def release(self, vm: VmId) -> None:
        """Release one slot."""
        self._service.release(worker_resource(vm))


class DistributedLimits:
    """Enforces team limits and worker slots at one entry VM.

    The slots are divided among the entry VMs as allotments: those of team limits
    across the fleet, those of workers within a data centre.

    Parameters
    ----------
    own_row : EntryVmRow
        The row of this incarnation of the entry VM.
    configuration : Configuration
    store : StoreAccess
    runner : ProcedureRunner
    peers : PeerService
    link : PeerLink
    clock : Clock
    """

    def __init__(
        self,
        own_row: EntryVmRow,
        configuration: Configuration,
        store: StoreAccess,
        runner: ProcedureRunner,
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._runner = runner
        self._configuration = configuration
        self._listeners: list[Callable[[], None]] = []
        build = partial(
            AllotmentService,
            own_row=own_row,
            configuration=configuration,
            store=store,
            peers=peers,
            link=link,
            clock=clock,
            on_change=self._notify_listeners,
        )
        data_centre = own_row.data_centre
        teams = build(FLEET_SCOPE, limits_of=team_limits)
        workers = build(
            data_centre_scope(data_centre),
            limits_of=partial(worker_limits, data_centre=data_centre),
        )
        self.limiter = AllottedTeamLimiter(teams)
        self.slots = AllottedWorkerSlots(workers)
        self._services = {each.scope: each for each in (teams, workers)}
        self._settle_task = PeriodicTask(
            "settle-allotments", self._settle, SETTLE_INTERVAL_S
        )
        self._exchange_task = PeriodicTask(
            "exchange-allotments", self._exchange, EXCHANGE_INTERVAL_S
        )
        peers.register_handler(AllotmentRequest, self._handle_frame)
        peers.register_handler(AllotmentTransfer, self._handle_frame)
        peers.register_handler(AllotmentReceipt, self._handle_frame)

    @property
    def is_retired(self) -> bool:
        """Whether others considered this incarnation dead and reclaimed its slots."""
        return any(service.account.is_retired for service in self._services.values())

    def team_allotments(self) -> dict[TeamId, TeamAllotment]:
        """Return the slots that this entry VM holds and uses of each team's limit."""
        account = self._services[FLEET_SCOPE].account
        return {
            team: TeamAllotment(
                account.held_slots(team_resource(team)),
                account.running_slots(team_resource(team)),
            )
            for team in self._configuration.fleet.teams
        }

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when slots may have become available to waiting work."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Get the first allotments, and settle and exchange them from now on."""
        await self._settle()
        await self._settle_task.start()
        await self._exchange_task.start()

    async def close(self) -> None:
        """Stop settling and exchanging."""
        await self._exchange_task.close()
        await self._settle_task.close()
        for service in self._services.values():
            service.close()

    def settle_now(self) -> None:
        """Settle at once, to apply a changed configuration."""
        self._settle_task.wake()

    async def leave(self) -> None:
        """Return all allotments, except in scopes where work may still be running."""
        await self.close()
        for service in self._services.values():
            if service.account.is_busy:
                continue
            try:
                await service.leave(self._runner)
            except CoordinationError as error:
                log_message("currantstage:allotment-return-failed", reason=str(error))

    async def _settle(self) -> None:
        for service in self._services.values():
            await service.settle(self._runner)

    async def _exchange(self) -> None:
        for service in self._services.values():
            service.exchange()

    def _handle_frame(self, frame: PeerFrame) -> None:
        message = frame.message
        if isinstance(message, AllotmentRequest | AllotmentTransfer | AllotmentReceipt):
            service = self._services.get(message.scope)
            if service is not None:
                service.handle_frame(frame)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
