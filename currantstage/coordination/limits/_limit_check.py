"""Check whether lowered upper limits are in force across the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_ledger import (
    adjust_to_limits,
    allotted_slots,
    team_limits,
)
from currantstage.coordination.limits._allotment_settlement import ledger_of, version_of
from currantstage.state import FLEET_SCOPE, RowWrite, ledger_key, team_resource

if TYPE_CHECKING:
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import Fleet, TeamId

#: Attempts at a check in one run while holders change the ledger.
MAX_CHECK_ATTEMPTS = 5


class AllotmentLimitCheck:
    """Implements `UpperLimitCheck` with the ledger of the teams' limits.

    Parameters
    ----------
    store : StoreAccess
    """

    def __init__(self, store: StoreAccess) -> None:
        self._store = store

    def teams_over_limit(self, fleet: Fleet) -> Procedure[tuple[TeamId, ...]]:
        """Return the teams whose total allotments exceed their limits in `fleet`.

        The ledger is first updated to the generation of `fleet`. After that, no entry
        VM can raise a total to the limit of an older generation.
        """
        limits = team_limits(fleet)
        key = ledger_key(FLEET_SCOPE)
        for _ in range(MAX_CHECK_ATTEMPTS):
            row = yield from self._store.read(key)
            ledger = ledger_of(row)
            adjusted = adjust_to_limits(ledger, fleet.generation, limits)
            if adjusted == ledger:
                return tuple(
                    team
                    for team, record in sorted(fleet.teams.items())
                    if allotted_slots(ledger, team_resource(team))
                    > record.upper_limit_slots
                )
            yield from self._store.transact(
                [RowWrite(key=key, expected_version=version_of(row), record=adjusted)]
            )
        return tuple(sorted(fleet.teams))
