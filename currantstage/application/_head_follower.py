"""Follow the head and the membership, and send heartbeats to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination import CoordinationError
from currantstage.protocol import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._core import DaemonCore
    from currantstage.application._distributed_limits import DistributedLimits
    from currantstage.application._request_path import RequestPath

#: Interval between reads of the rows of the other entry VMs, in seconds.
PEER_REFRESH_S = 2.0
#: Minimum time between two refreshes, in seconds per peer; it bounds their traffic.
PEER_REFRESH_PER_PEER_S = 0.25
#: Peers that get a heartbeat in each round; the limit bounds their traffic.
HEARTBEATS_PER_ROUND = 8


class HeadFollower:
    """Applies newer generations at this entry VM.

    Parameters
    ----------
    core : DaemonCore
    limits : DistributedLimits
    path : RequestPath
    on_store_outage : callable
        Called when the head could not be read.
    """

    def __init__(
        self,
        core: DaemonCore,
        limits: DistributedLimits,
        path: RequestPath,
        on_store_outage: Callable[[], None],
    ) -> None:
        self._core = core
        self._limits = limits
        self._path = path
        self._on_store_outage = on_store_outage
        self._next_refresh_s = 0.0
        core.configuration.on_apply(self._apply_fleet)

    async def follow(self) -> None:
        """Apply a newer generation if there is one, and renew the lease."""
        core = self._core
        before = core.configuration.fleet.generation
        try:
            generation = await core.runner.run(core.membership.follow_head())
        except CoordinationError:
            self._on_store_outage()
            raise
        if generation > before:
            log_message("currantstage:generation-applied", generation=generation)
            core.peers.broadcast(core.sockets, self._heartbeat())
            # The limits are divided among the current members.
            await self.refresh()
            self._limits.settle_now()

    async def refresh(self) -> None:
        """Read the rows of the other entry VMs, and connect to them."""
        core = self._core
        await core.peers.refresh(core.runner, core.store, core.sockets)
        interval_s = PEER_REFRESH_PER_PEER_S * len(core.peers.peers)
        self._next_refresh_s = core.clock.now_s() + interval_s

    async def refresh_if_due(self) -> None:
        """Refresh if the interval, which grows with the number of peers, has passed."""
        if self._core.clock.now_s() >= self._next_refresh_s:
            await self.refresh()

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the next peers in round-robin order."""
        core = self._core
        for peer in core.peers.next_peers(HEARTBEATS_PER_ROUND):
            core.peers.send(core.sockets, peer, self._heartbeat())

    def _apply_fleet(self) -> None:
        """Apply a fleet here before this entry VM's row states that it is applied."""
        self._path.apply_fleet()
        self._limits.settle_now()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(generation=self._core.configuration.fleet.generation)
