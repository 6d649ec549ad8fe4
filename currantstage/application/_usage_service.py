"""Exchange reports of the slots that each team holds with the other entry VMs."""

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
    """Keeps a `UsageTracker` up to date.

    Parameters
    ----------
    tracker : UsageTracker
    running_slots : callable
        Returns the slots that each team holds, per queue.
    peers : PeerService
    link : PeerLink
    clock : Clock
    """

    def __init__(
        self,
        tracker: UsageTracker,
        running_slots: Callable[[], Mapping[QueueId, Mapping[TeamId, float]]],
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._running_slots = running_slots
        self._peers = peers
        self._link = link
        self._clock = clock
        peers.register_handler(UsageReport, self._handle_frame)

    async def broadcast_report(self) -> None:
        """Send the next report to all peers."""
        report = self._tracker.report(self._clock.now_s(), self._running_slots())
        self._peers.broadcast(self._link, report)

    def _handle_frame(self, frame: PeerFrame) -> None:
        if isinstance(frame.message, UsageReport):
            now_s = self._clock.now_s()
            self._tracker.receive(now_s, frame.sender, frame.incarnation, frame.message)
