"""Wire the allotments of team limits and worker slots to admission and the peers."""

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
from currantstage.util import DutyLoop

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import PeerFrame
    from currantstage.state import Clock, EntryVmRow, PeerLink, TeamId, VmId

#: Pause between two settlements with the table, in seconds.
SETTLE_INTERVAL_S = 1.0
#: Pause between two rounds of repeating and levelling transfers, in seconds.
EXCHANGE_INTERVAL_S = 0.5


class AllottedTeamLimiter:
    """Implements `TeamLimiter` by allotments of the teams' upper limits."""

    def __init__(self, service: AllotmentService) -> None:
        self._service = service

    def try_acquire(self, team: TeamId) -> bool:
        """Take one slot of the team's upper limit; return False when none is left."""
        return self._service.try_acquire(team_resource(team))

    def release(self, team: TeamId) -> None:
        """Give one slot back."""
        self._service.release(team_resource(team))


class AllottedWorkerSlots:
    """Implements `WorkerSlots` by allotments of the workers' slots."""

    def __init__(self, service: AllotmentService) -> None:
        self._service = service

    def free_slots(self, vm: VmId) -> int:
        """Return the slots of `vm` that this entry VM may still take."""
        return self._service.startable_slots(worker_resource(vm))

    def try_acquire(self, vm: VmId) -> bool:
        """Take one slot of `vm`; return False when none is left to this entry VM."""
        return self._service.try_acquire(worker_resource(vm))

    def release(self, vm: VmId) -> None:
        """Give one slot back."""
        self._service.release(worker_resource(vm))


class LimitPath:
    """The team limits and worker slots of one entry VM.

    Parameters
    ----------
    own : EntryVmRow
        This start of the entry VM.
    configuration : Configuration
    store : StoreAccess
    runner : ProcedureRunner
    peers : PeerService
    link : PeerLink
    clock : Clock
    """

    def __init__(
        self,
        own: EntryVmRow,
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
            own=own,
            configuration=configuration,
            store=store,
            peers=peers,
            link=link,
            clock=clock,
            on_change=self._tell_listeners,
        )
        data_centre = own.data_centre
        teams = build(FLEET_SCOPE, limits_of=team_limits)
        workers = build(
            data_centre_scope(data_centre),
            limits_of=partial(worker_limits, data_centre=data_centre),
        )
        self.limiter = AllottedTeamLimiter(teams)
        self.slots = AllottedWorkerSlots(workers)
        self._services = {each.scope: each for each in (teams, workers)}
        self._settling = DutyLoop("settle-allotments", self._settle, SETTLE_INTERVAL_S)
        self._exchanging = DutyLoop(
            "exchange-allotments", self._exchange, EXCHANGE_INTERVAL_S
        )
        peers.handle(AllotmentRequest, self._hear)
        peers.handle(AllotmentTransfer, self._hear)
        peers.handle(AllotmentReceipt, self._hear)

    @property
    def is_retired(self) -> bool:
        """Whether other entry VMs took this start for dead and reclaimed its slots."""
        return any(service.account.is_retired for service in self._services.values())

    def team_allotments(self) -> dict[TeamId, TeamAllotment]:
        """Return what this entry VM holds and uses of each team's upper limit."""
        account = self._services[FLEET_SCOPE].account
        return {
            team: TeamAllotment(
                account.held_slots(team_resource(team)),
                account.running_slots(team_resource(team)),
            )
            for team in self._configuration.fleet.teams
        }

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when waiting work may find a slot that it did not find."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Take the first allotments and keep them settled from now on."""
        await self._settle()
        await self._settling.start()
        await self._exchanging.start()

    async def close(self) -> None:
        """Stop settling and asking."""
        await self._exchanging.close()
        await self._settling.close()
        for service in self._services.values():
            service.close()

    def follow_limits(self) -> None:
        """Settle at once, because the configuration has changed."""
        self._settling.wake()

    async def leave(self) -> None:
        """Hand everything back, except where work may still be running."""
        await self.close()
        for service in self._services.values():
            if service.account.is_busy:
                continue
            try:
                await service.leave(self._runner)
            except CoordinationError as error:
                log_message("currantstage:hand-back-failed", reason=str(error))

    async def _settle(self) -> None:
        for service in self._services.values():
            await service.settle(self._runner)

    async def _exchange(self) -> None:
        for service in self._services.values():
            service.exchange()

    def _hear(self, frame: PeerFrame) -> None:
        message = frame.message
        if isinstance(message, AllotmentRequest | AllotmentTransfer | AllotmentReceipt):
            service = self._services.get(message.scope)
            if service is not None:
                service.hear(frame)

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()
