"""Start orders that this daemon sends for the scheduler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.protocol.jobs import StartsRelayed
from currantstage.state.jobs import OrderOutcome, RelayPermit

if TYPE_CHECKING:
    import random

    from currantstage.protocol.jobs import RelayStarts
    from currantstage.state import Clock
    from currantstage.state.jobs import StartOrder, WorkerOrders

#: Number of bits of the number that identifies a process.
INCARNATION_BITS = 53


class StartRelay:
    """Sends start orders of the scheduler while its permit lasts.

    Parameters
    ----------
    orders : WorkerOrders
    clock : Clock
    random : random.Random
    """

    def __init__(
        self, orders: WorkerOrders, clock: Clock, random: random.Random
    ) -> None:
        self._orders = orders
        self._clock = clock
        self._incarnation = random.getrandbits(INCARNATION_BITS)

    async def handle(self, query: RelayStarts) -> StartsRelayed:
        """Send the orders, and reply once each of them has its outcome."""
        outcomes = await asyncio.gather(
            *(self._start(order, query.permit) for order in query.orders)
        )
        expired = outcomes.count(OrderOutcome.NOT_RELAYED)
        if expired:
            log_message(
                "currantstage:relay-permit-expired",
                orders=expired,
                until_ms=query.permit.until_ms if query.permit else None,
                clock_ms=self._clock_ms(),
            )
        return StartsRelayed(
            outcomes=tuple(outcomes),
            incarnation=self._incarnation,
            clock_ms=self._clock_ms(),
        )

    async def _start(
        self, order: StartOrder, permit: RelayPermit | None
    ) -> OrderOutcome:
        if permit is None or not self._is_valid(permit):
            return OrderOutcome.NOT_RELAYED
        return await self._orders.start(order)

    def _is_valid(self, permit: RelayPermit) -> bool:
        is_own = permit.incarnation == self._incarnation
        return is_own and self._clock_ms() < permit.until_ms

    def _clock_ms(self) -> int:
        return int(self._clock.now_s() * 1000)
