"""Which daemons relay start orders of the scheduler, and for how long they may."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import cycle
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._worker_clock import WorkerClock
from currantstage.state.jobs import RelayPermit

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._run import Run
    from currantstage.state.jobs import WorkerId

#: Maximum number of daemons that relay starts at the same time.
MAX_RELAYS = 8
#: How long after the scheduler's decision a relay may send an order, in seconds.
RELAY_PERMIT_S = 1.0
#: How long a daemon that did not answer is not used as a relay, in seconds.
RELAY_PAUSE_S = 10.0
#: Age from which on a reading of a relay's clock is renewed, in seconds.
MAX_RELAY_READING_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class StartDivision:
    """Who sends the start orders of some runs.

    Parameters
    ----------
    direct : list of Run
        Those that the scheduler's daemon sends itself.
    by_relay : dict of str to list of Run
        The others, by the address of the daemon that relays them.
    """

    direct: list[Run] = field(default_factory=list)
    by_relay: dict[str, list[Run]] = field(default_factory=dict)


def divide_starts(
    runs: Iterable[Run], max_direct: int, min_relayed: int, relays: Sequence[str]
) -> StartDivision:
    """Divide the start orders of `runs` between the scheduler's daemon and `relays`.

    The members of a gang have to start together, and a long-running task is missed as
    long as it is away, so that neither depends on another daemon. All of `runs` that
    are relayed to one worker go through the same relay.

    Parameters
    ----------
    runs : iterable of Run
    max_direct : int
        How many orders the scheduler's daemon may send in addition to those of gangs
        and long-running tasks.
    min_relayed : int
        Mean number of orders for each relay that makes one more worth its messages.
    relays : sequence of str
        Addresses of the daemons that relay orders.
    """
    division = StartDivision()
    relayable = []
    for run in runs:
        if run.step.is_gang or run.step.is_long_running:
            division.direct.append(run)
        else:
            relayable.append(run)
    relayed = relayable[max(0, max_direct) :]
    used = relays[: len(relayed) // min_relayed]
    if not used:
        division.direct.extend(relayable)
        return division
    division.direct.extend(relayable[: max(0, max_direct)])
    turns = cycle(used)
    relay_of: dict[WorkerId, str] = {}
    for run in relayed:
        if run.worker not in relay_of:
            relay_of[run.worker] = next(turns)
        division.by_relay.setdefault(relay_of[run.worker], []).append(run)
    return division


@dataclass(slots=True)
class _Relay:
    incarnation: int = 0
    clock: WorkerClock = field(default_factory=WorkerClock)
    paused_until_s: float = float("-inf")


class RelayTable:
    """Keeps what is known of the daemons that may relay starts.

    A relay is told when its permission ends as a time on its own clock. So one that
    has been paused, or has got a message late, does not send orders that have been
    given up meanwhile.
    """

    def __init__(self) -> None:
        self._relays: dict[str, _Relay] = {}

    def candidates(self, peers: Iterable[str], now_s: float) -> list[str]:
        """Return the first of `peers` that may relay orders, ready or not."""
        found: list[str] = []
        for peer in peers:
            if now_s >= self._relay(peer).paused_until_s:
                found.append(peer)
            if len(found) == MAX_RELAYS:
                break
        return found

    def is_ready(self, peer: str, now_s: float) -> bool:
        """Return whether the clock of `peer` has been read lately."""
        age_s = self._relay(peer).clock.age_s(now_s)
        return age_s is not None and age_s < MAX_RELAY_READING_AGE_S

    def permit(self, peer: str, now_s: float) -> RelayPermit:
        """Return the permission to send an order that is decided on now."""
        relay = self._relay(peer)
        until_ms = relay.clock.earliest_ms(now_s) + int(RELAY_PERMIT_S * 1000)
        return RelayPermit(incarnation=relay.incarnation, until_ms=until_ms)

    def record_reply(
        self, peer: str, incarnation: int, clock_ms: int, now_s: float
    ) -> None:
        """Record the reading of a relay's clock in a reply that has arrived now."""
        relay = self._relay(peer)
        relay.incarnation = incarnation
        relay.clock = WorkerClock(reading_ms=clock_ms, read_s=now_s)

    def record_failure(self, peer: str, now_s: float) -> None:
        """Don't use a relay for a while, as it has not answered."""
        self._relays[peer] = _Relay(paused_until_s=now_s + RELAY_PAUSE_S)

    def _relay(self, peer: str) -> _Relay:
        return self._relays.setdefault(peer, _Relay())
