"""Client for the daemons that relay start orders of the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination.jobs import RELAY_PERMIT_S, RelayTable
from currantstage.protocol.jobs import RelayStarts, StartsRelayed
from currantstage.state.jobs import OrderOutcome
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.state import Clock
    from currantstage.state.jobs import StartOrder

#: Time that the call of a relay to a worker may take, in seconds.
RELAYED_CALL_S = 0.5
#: Timeout of a query to a relay, in seconds; its orders may be sent late in its permit.
RELAY_TIMEOUT_S = RELAY_PERMIT_S + RELAYED_CALL_S

#: Outcomes of a relay that is late, or that doesn't reach a worker.
_FAILURES = frozenset(
    {OrderOutcome.NOT_RELAYED, OrderOutcome.UNSENT, OrderOutcome.UNKNOWN}
)


class RelayClient:
    """Has other daemons send start orders.

    Parameters
    ----------
    directory : PeerDirectory
    clock : Clock
    """

    def __init__(self, directory: PeerDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._table = RelayTable()
        # Daemons whose clocks are being read, until the reply comes.
        self._being_read: set[str] = set()

    def ready_relays(self) -> list[str]:
        """Return the addresses of the daemons that can relay orders now."""
        now_s = self._clock.now_s()
        candidates = self._candidates(now_s)
        return [each for each in candidates if self._table.is_ready(each, now_s)]

    def unread_relays(self) -> list[str]:
        """Return the daemons whose clocks are to be read by `read_clock`."""
        now_s = self._clock.now_s()
        return [
            each
            for each in self._candidates(now_s)
            if each not in self._being_read and not self._table.is_ready(each, now_s)
        ]

    async def read_clock(self, relay: str) -> None:
        """Read the clock of a daemon, so that it can be given a permit.

        Has no effect while another call reads it.
        """
        if relay in self._being_read:
            return
        self._being_read.add(relay)
        try:
            await self._send(relay, RelayStarts())
        finally:
            self._being_read.discard(relay)

    async def start(
        self, relay: str, orders: Sequence[StartOrder]
    ) -> tuple[OrderOutcome, ...]:
        """Have `relay` send orders that were decided on just now.

        A worker that `relay` can't reach may well be reachable for others, so that
        only the relay isn't used for a while.
        """
        permit = self._table.permit(relay, self._clock.now_s())
        query = RelayStarts(orders=tuple(orders), permit=permit)
        reply = await self._send(relay, query)
        if isinstance(reply, StartsRelayed):
            if not _FAILURES.isdisjoint(reply.outcomes):
                self._table.record_failure(relay, self._clock.now_s())
            return tuple(map(_as_relayed, reply.outcomes))
        is_sent = reply is not PeerFailure.REFUSED
        outcome = OrderOutcome.UNKNOWN if is_sent else OrderOutcome.NOT_RELAYED
        return (outcome,) * len(orders)

    async def _send(
        self, relay: str, query: RelayStarts
    ) -> StartsRelayed | PeerFailure:
        reply = await self._directory.send_query(relay, query, RELAY_TIMEOUT_S)
        now_s = self._clock.now_s()
        is_complete = isinstance(reply, StartsRelayed) and len(reply.outcomes) == len(
            query.orders
        )
        if isinstance(reply, StartsRelayed) and is_complete:
            self._table.record_reply(relay, reply.incarnation, reply.clock_ms, now_s)
            return reply
        self._table.record_failure(relay, now_s)
        failure = reply if isinstance(reply, PeerFailure) else PeerFailure.NO_REPLY
        log_message(
            "currantstage:relay-failed",
            relay=relay,
            orders=len(query.orders),
            reason=failure.value,
        )
        return failure

    def _candidates(self, now_s: float) -> list[str]:
        return self._table.candidates(self._directory.largest_peers(), now_s)


def _as_relayed(outcome: OrderOutcome) -> OrderOutcome:
    """Return the outcome of a relayed order, which says nothing of the own link."""
    return OrderOutcome.NOT_RELAYED if outcome is OrderOutcome.UNSENT else outcome
