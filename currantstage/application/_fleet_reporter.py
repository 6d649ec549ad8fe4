"""Report the state of the fleet to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination import CoordinationError
from currantstage.coordination.fleet import (
    FleetSnapshot,
    load_drain_acks,
    load_entry_vms,
    load_fleet_rows,
)
from currantstage.protocol import FleetStatus, build_fleet_status
from currantstage.state import ABSENT
from currantstage.transport import OperatorCallError

if TYPE_CHECKING:
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.store import Procedure, StoreAccess


class FleetReporter:
    """Implements `FleetStatusService`.

    Parameters
    ----------
    runner : ProcedureRunner
    store : StoreAccess
    configuration : Configuration
    """

    def __init__(
        self,
        runner: ProcedureRunner,
        store: StoreAccess,
        configuration: Configuration,
    ) -> None:
        self._runner = runner
        self._store = store
        self._configuration = configuration

    async def fleet_status(self) -> FleetStatus:
        """Return the state of the fleet according to the platform's current rows."""
        try:
            return build_fleet_status(await self._runner.run(self._load()))
        except CoordinationError as error:
            raise OperatorCallError(f"{type(error).__name__}: {error}") from error

    def _load(self) -> Procedure[FleetSnapshot]:
        acks = yield from load_drain_acks(self._store)
        return FleetSnapshot(
            now_s=(yield from self._store.unix_time_s()),
            fleet=self._configuration.fleet,
            head_version=ABSENT,
            rows=(yield from load_fleet_rows(self._store)),
            liveness={},
            entry_vms=(yield from load_entry_vms(self._store)),
            drain_acks=acks,
        )
