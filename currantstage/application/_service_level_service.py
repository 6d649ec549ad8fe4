"""Serve the counts from which service levels are computed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination import CoordinationError
from currantstage.coordination.requests import NO_TEAM, SeriesCount, key_id_of
from currantstage.protocol import MemberAddress, Members, ServiceLevelReport
from currantstage.state import ENTRY_VM_PREFIX, EntryVmRow
from currantstage.transport import OperatorCallError

if TYPE_CHECKING:
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.requests import RequestEnd, ServiceLevelRecorder
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import CallerRequest
    from currantstage.state import Clock, TeamId


class ServiceLevelService:
    """Implements `ServiceLevelSource`; `on_end` is called at the end of each request.

    Parameters
    ----------
    runner : ProcedureRunner
    store : StoreAccess
    configuration : Configuration
    recorder : ServiceLevelRecorder
    row : EntryVmRow
        The row of this incarnation of the entry VM.
    clock : Clock
    """

    def __init__(
        self,
        runner: ProcedureRunner,
        store: StoreAccess,
        configuration: Configuration,
        recorder: ServiceLevelRecorder,
        row: EntryVmRow,
        clock: Clock,
    ) -> None:
        self._runner = runner
        self._store = store
        self._configuration = configuration
        self._recorder = recorder
        self._row = row
        self._clock = clock

    def on_end(
        self, request: CallerRequest, team: TeamId, end: RequestEnd, duration_s: float
    ) -> None:
        """Count a request that has ended, unless its queue is unknown."""
        fleet = self._configuration.fleet
        queue = fleet.queues.get(request.queue)
        if queue is None:
            return
        if team == NO_TEAM and request.presented_key is not None:
            # A refusal does not state the team, so it is looked up by the key id.
            # Refusals because of wrong keys are not counted.
            key = fleet.keys.get(key_id_of(request.presented_key))
            team = team if key is None else key.team
        self._recorder.add(queue, team, end, duration_s, self._clock.now_s())

    async def service_levels(self) -> ServiceLevelReport:
        """Return the counts of this entry VM."""
        now_s = self._clock.now_s()
        return ServiceLevelReport(
            entry_vm=self._row.entry_vm,
            incarnation=self._row.incarnation,
            covered_s=self._recorder.covered_s(now_s),
            uncounted=self._recorder.uncounted,
            series=tuple(SeriesCount(*each) for each in self._recorder.counts(now_s)),
        )

    async def members(self) -> Members:
        """Return the entry VMs that have a row; may raise `OperatorCallError`."""
        try:
            rows = await self._runner.run(self._store.scan(ENTRY_VM_PREFIX))
        except CoordinationError as error:
            raise OperatorCallError(f"{type(error).__name__}: {error}") from error
        return Members(
            members=tuple(
                MemberAddress(
                    entry_vm=row.record.entry_vm,
                    incarnation=row.record.incarnation,
                    http_address=row.record.http_address,
                )
                for row in rows
                if isinstance(row.record, EntryVmRow)
            )
        )
