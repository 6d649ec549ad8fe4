"""Follow the head and the membership, and tell the peers what is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination import CoordinationError
from currantstage.protocol import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._core import DaemonCore
    from currantstage.application._limit_path import LimitPath
    from currantstage.application._request_path import RequestPath

#: How often the rows of the other entry VMs are read, in seconds.
PEER_REFRESH_S = 2.0
#: Longer pause between two refreshes for each peer, which bounds their traffic.
PEER_REFRESH_PER_PEER_S = 0.25
#: Peers that get a heartbeat at each turn, which bounds their traffic.
HEARTBEATS_PER_TURN = 8


class HeadFollower:
    """Puts newer generations in force at this entry VM.

    Parameters
    ----------
    core : DaemonCore
    limits : LimitPath
    path : RequestPath
    on_store_unreachable : callable
        Called when the head can't be read.
    """

    def __init__(
        self,
        core: DaemonCore,
        limits: LimitPath,
        path: RequestPath,
        on_store_unreachable: Callable[[], None],
    ) -> None:
        self._core = core
        self._limits = limits
        self._path = path
        self._on_store_away = on_store_unreachable
        self._next_refresh_s = 0.0
        core.configuration.on_apply(self._adopt_fleet)

    async def follow(self) -> None:
        """Apply a newer generation when there is one, and renew the lease."""
        core = self._core
        before = core.configuration.fleet.generation
        try:
            generation = await core.runner.run(core.membership.follow_head())
        except CoordinationError:
            self._on_store_away()
            raise
        if generation > before:
            log_message("currantstage:applied", generation=generation)
            core.peers.broadcast(core.sockets, self._heartbeat())
            # The limits are divided among those who are there now.
            await self.refresh()
            self._limits.follow_limits()

    async def refresh(self) -> None:
        """Read which other entry VMs there are, and connect to them."""
        core = self._core
        await core.peers.refresh(core.runner, core.store, core.sockets)
        pause_s = PEER_REFRESH_PER_PEER_S * len(core.peers.peers)
        self._next_refresh_s = core.clock.now_s() + pause_s

    async def refresh_if_due(self) -> None:
        """Refresh, less often the more peers there are."""
        if self._core.clock.now_s() >= self._next_refresh_s:
            await self.refresh()

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the peers whose turn it is."""
        core = self._core
        for peer in core.peers.next_peers(HEARTBEATS_PER_TURN):
            core.peers.send(core.sockets, peer, self._heartbeat())

    def _adopt_fleet(self) -> None:
        """Let every part follow a fleet before the entry VM's row states it."""
        self._path.apply_fleet()
        self._limits.follow_limits()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(generation=self._core.configuration.fleet.generation)
