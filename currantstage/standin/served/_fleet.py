"""The daemons of a trial, and what happens to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.served._daemons import DaemonProcess
from currantstage.standin.served._faults import Fault, FaultKind, Service
from currantstage.standin.served._log_check import (
    Activity,
    find_log_faults,
    find_most_blocked,
)
from currantstage.standin.served._scenarios import DaemonAction

if TYPE_CHECKING:
    from pathlib import Path

    import aiohttp

    from currantstage.standin.served._faults import FaultBoard
    from currantstage.standin.served._platform import ServedPlatform
    from currantstage.standin.served._scenarios import DaemonEvent

#: Time from the end of a daemon to its next start, in seconds.
RESTART_PAUSE_S = 1.0
#: Interval at which the daemons are looked after, in seconds.
CHECK_INTERVAL_S = 0.2


class DaemonFleet:
    """Starts daemons, ends them as a scenario says, and starts them again.

    Parameters
    ----------
    platform : ServedPlatform
    board : FaultBoard
    http : aiohttp.ClientSession
    folder : Path
        Folder of the settings files and the logs.
    """

    def __init__(
        self,
        platform: ServedPlatform,
        board: FaultBoard,
        http: aiohttp.ClientSession,
        folder: Path,
    ) -> None:
        self.daemons = DaemonProcess.build_all(platform, folder)
        #: Whether all daemons were killed and aren't all ready again.
        self.is_out = False
        #: When they were all ready again, measured from the start of the run.
        self.recovered_s = float("-inf")
        self._board = board
        self._http = http

    async def start(self) -> None:
        """Start all daemons, and wait until they are ready."""
        for daemon in self.daemons:
            await daemon.start()
        await self._wait_all_ready()

    async def close(self) -> None:
        """Ask all daemons to stop, and wait for their ends."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))

    async def kill(self) -> None:
        """Kill all daemons that still run."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))

    async def watch(self) -> None:
        """Start a daemon again that ends by itself; goes on until cancelled."""
        while True:
            for daemon in self.daemons:
                if daemon.check_running():
                    await daemon.start()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def carry_out(self, event: DaemonEvent) -> None:
        """Let an event happen now."""
        match event.action:
            case DaemonAction.KILL_ALL:
                await self._kill_all()
            case DaemonAction.STOP_SCHEDULER:
                daemon = await self._find_scheduler()
                await daemon.stop()
                await asyncio.sleep(RESTART_PAUSE_S)
                await daemon.start()
            case DaemonAction.REFUSE_SCHEDULER:
                daemon = await self._find_scheduler()
                self._board.add(
                    Fault(
                        Service.STORE,
                        FaultKind.REFUSE,
                        self._board.now_s,
                        event.duration_s,
                        daemons=frozenset({daemon.name}),
                    )
                )

    def find_unasked_ends(self) -> list[str]:
        """Return a line for each daemon that has ended by itself or with an error."""
        unasked = [
            f"{daemon.name} ended by itself with status {status}"
            for daemon in self.daemons
            for status in daemon.unasked_ends
        ]
        failed = [
            f"{daemon.name} ended with status {status} when told to stop"
            for daemon in self.daemons
            for status in daemon.failed_stops
        ]
        return unasked + failed

    def find_log_faults(self) -> list[str]:
        """Return the lines of all daemons' logs that show a fault."""
        return [
            fault
            for daemon in self.daemons
            for fault in find_log_faults(daemon.log_path)
        ]

    def find_most_blocked(self) -> Activity:
        """Return the second in which the most workers took no tasks."""
        return find_most_blocked(daemon.log_path for daemon in self.daemons)

    async def _kill_all(self) -> None:
        self.is_out = True
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        await asyncio.sleep(RESTART_PAUSE_S)
        for daemon in self.daemons:
            await daemon.start()
        await self._wait_all_ready()
        self.is_out = False
        self.recovered_s = self._board.now_s

    async def _wait_all_ready(self) -> None:
        await asyncio.gather(
            *(daemon.wait_ready(self._http) for daemon in self.daemons)
        )

    async def _find_scheduler(self) -> DaemonProcess:
        """Return the scheduler; the first daemon if none says that it is."""
        for daemon in self.daemons:
            if await daemon.holds_scheduler_lease(self._http):
                return daemon
        return self.daemons[0]
