"""Faults that the served platform can have, and which of them a call meets."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from currantstage.state import EntryVmId, PoolId


class Service(Enum):
    """A service of the platform, or its workers."""

    STORE = "store"
    WORKERS = "workers"
    VMS = "vms"


class FaultKind(Enum):
    """What a service does instead of answering.

    ``REFUSE`` closes its listening socket and all connections; ``RESET`` closes the
    connection of each call; ``UNAVAILABLE`` answers 503 and does nothing; ``SILENT``
    never answers and does nothing; ``LOSE_ANSWERS`` does the work and never answers;
    ``SLOW`` answers late; ``STALL`` lets the tasks on workers make no progress.
    """

    REFUSE = "refuse"
    RESET = "reset"
    UNAVAILABLE = "unavailable"
    SILENT = "silent"
    LOSE_ANSWERS = "lose-answers"
    SLOW = "slow"
    STALL = "stall"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a service for a time.

    Parameters
    ----------
    service : Service
    kind : FaultKind
    start_s, duration_s : float
        When it begins, measured from the start of the run, and how long it lasts.
    daemons : frozenset of EntryVmId
        Daemons whose calls it meets; empty for all daemons.
    pools : frozenset of PoolId
        Pools whose workers have it; empty for all pools.
    orders_only : bool
        Whether only calls that change something meet it; reads are served.
    delay_s : float
        How late a slow service answers.
    """

    service: Service
    kind: FaultKind
    start_s: float
    duration_s: float
    daemons: frozenset[EntryVmId] = frozenset()
    pools: frozenset[PoolId] = frozenset()
    orders_only: bool = False
    delay_s: float = 0.0

    @property
    def end_s(self) -> float:
        """When it ends, measured from the start of the run."""
        return self.start_s + self.duration_s

    def is_active(self, now_s: float) -> bool:
        """Return whether the service has it at `now_s`."""
        return self.start_s <= now_s < self.end_s

    def meets_daemon(self, daemon: EntryVmId) -> bool:
        """Return whether it meets the calls of `daemon`."""
        return not self.daemons or daemon in self.daemons

    def meets_pool(self, pool: PoolId) -> bool:
        """Return whether the workers of `pool` have it."""
        return not self.pools or pool in self.pools


@dataclass(slots=True)
class FaultBoard:
    """The faults of a run, and the time that has passed since its start.

    Parameters
    ----------
    faults : list of Fault
    now_s : float
        Advanced by the owner of the run.

    Examples
    --------
    >>> fault = Fault(Service.STORE, FaultKind.REFUSE, 1.0, 2.0)
    >>> board = FaultBoard([fault], now_s=1.5)
    >>> board.is_refused(Service.STORE, daemon=EntryVmId("entry-1"))
    True
    >>> board.now_s = 3.0
    >>> board.is_refused(Service.STORE, daemon=EntryVmId("entry-1"))
    False
    """

    faults: list[Fault] = field(default_factory=list)
    now_s: float = 0.0

    def add(self, fault: Fault) -> None:
        """Add a fault while the run goes on."""
        self.faults.append(fault)

    def is_refused(
        self,
        service: Service,
        *,
        daemon: EntryVmId | None = None,
        pool: PoolId | None = None,
    ) -> bool:
        """Return whether the listening socket that they use is closed now."""
        found = self._matching(service, daemon, pool)
        return any(each.kind is FaultKind.REFUSE for each in found)

    def find(
        self,
        service: Service,
        *,
        is_order: bool,
        daemon: EntryVmId | None = None,
        pool: PoolId | None = None,
    ) -> Fault | None:
        """Return the fault that a call meets now, if any."""
        found = self._matching(service, daemon, pool)
        calls = (each for each in found if each.kind is not FaultKind.STALL)
        return next((each for each in calls if is_order or not each.orders_only), None)

    def is_stalled(self, pool: PoolId) -> bool:
        """Return whether the tasks on workers of `pool` make no progress now."""
        found = self._matching(Service.WORKERS, None, pool)
        return any(each.kind is FaultKind.STALL for each in found)

    def is_out_for_all(self, service: Service) -> bool:
        """Return whether no daemon gets an answer of `service` now."""
        found = self._matching(service, None, None)
        return any(
            not each.daemons and each.kind not in (FaultKind.SLOW, FaultKind.STALL)
            for each in found
        )

    def _matching(
        self, service: Service, daemon: EntryVmId | None, pool: PoolId | None
    ) -> Iterable[Fault]:
        for fault in self.faults:
            if fault.service is not service or not fault.is_active(self.now_s):
                continue
            if daemon is not None and not fault.meets_daemon(daemon):
                continue
            if pool is None or fault.meets_pool(pool):
                yield fault
