"""Apply the placement of a data centre at one of its entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

if TYPE_CHECKING:
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.application._request_path import RequestPath
    from currantstage.coordination.fleet import DrainFollower
    from currantstage.coordination.membership import Configuration

#: Interval between reads of the placement, in seconds.
PLACEMENT_POLL_S = 1.0


class FleetFollower:
    """Applies placements, and acknowledges drains.

    Parameters
    ----------
    runner : ProcedureRunner
    drains : DrainFollower
    configuration : Configuration
    path : RequestPath
    """

    def __init__(
        self,
        runner: ProcedureRunner,
        drains: DrainFollower,
        configuration: Configuration,
        path: RequestPath,
    ) -> None:
        self._runner = runner
        self._drains = drains
        self._configuration = configuration
        self._path = path

    async def follow(self) -> None:
        """Apply a newer placement if there is one, then acknowledge finished drains."""
        if await self._runner.run(self._drains.follow()):
            self.apply()
            assert self._drains.placement is not None
            log_message("currantstage:placed", number=self._drains.placement.number)
        await self._runner.run(
            self._drains.acknowledge(self._path.driver.held_requests)
        )

    def apply(self) -> None:
        """Apply the last placement that was read to the request path."""
        self._configuration.set_placement(self._drains.pools())
        self._path.driver.start_waiting()
