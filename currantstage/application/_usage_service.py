"""Tell the other entry VMs what each team holds here, and hear the same of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.limits import UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.application._peer_service import PeerService
    from currantstage.coordination.limits import UsageTracker
    from currantstage.protocol import PeerFrame
    from currantstage.state import Clock, PeerLink, QueueId, TeamId


class UsageService:
    """Keeps a `UsageTracker` current.

    Parameters
    ----------
    board : UsageTracker
    read_running : callable
        Returns the slots that each team holds now, by queue.
    peers : PeerService
    link : PeerLink
    clock : Clock
    """

    def __init__(
        self,
        tracker: UsageTracker,
        read_running: Callable[[], Mapping[QueueId, Mapping[TeamId, float]]],
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._read_running = read_running
        self._peers = peers
        self._link = link
        self._clock = clock
        peers.handle(UsageReport, self._hear)

    async def tell(self) -> None:
        """Send the next report to every peer."""
        report = self._tracker.report(self._clock.now_s(), self._read_running())
        self._peers.broadcast(self._link, report)

    def _hear(self, frame: PeerFrame) -> None:
        if isinstance(frame.message, UsageReport):
            now_s = self._clock.now_s()
            self._tracker.receive(now_s, frame.sender, frame.incarnation, frame.message)
