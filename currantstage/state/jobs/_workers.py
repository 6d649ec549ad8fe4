"""Reports of workers and VMs, and orders to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from currantstage.state._ids import DataCentreId, PoolId, VmId
from currantstage.state.jobs._ids import (
    BornMs,
    EndNumber,
    Fence,
    RunNumber,
    TaskKey,
    WorkerId,
)
from currantstage.state.jobs._jobs import Resources


class WorkerEntry(Struct, frozen=True, kw_only=True):
    """The entry that a worker writes to the store."""

    worker: WorkerId
    pool: PoolId
    address: str
    data_centre: DataCentreId
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: BornMs
    remaining_ms: int = 0

    @property
    def rack(self) -> str:
        """The label that names the rack."""
        return self.labels[-1] if self.labels else ""


class EndKind(Enum):
    """Way in which a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    PEER_ENDED = "peer-ended"
    GANG_TIMEOUT = "gang-timeout"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists as running.

    Parameters
    ----------
    task : TaskKey
    run : RunNumber
    checkpoint : str
    percent : int
        Progress; for a long-running task, its percentage of full work.
    gauge : float
        Tail latency in milliseconds for a serving task, otherwise processor usage.
    """

    task: TaskKey
    run: RunNumber
    checkpoint: str
    percent: int
    gauge: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended."""

    number: EndNumber
    task: TaskKey
    run: RunNumber
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalOrder:
    """Renews a worker's lease and requests its lists of runs.

    Parameters
    ----------
    worker : WorkerEntry
    fence : Fence
    seen_upto : EndNumber
        Ended runs up to this number are stored; the worker may discard them.
    until_ms : int or None
        Expiry of the lease on the worker's clock; None does not renew the lease.
    wait_ms : int
        Maximum time that the worker waits for a run to end before it replies.
    """

    worker: WorkerEntry
    fence: Fence
    seen_upto: EndNumber
    until_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RenewalReply:
    """A worker's lists of running and ended runs.

    Parameters
    ----------
    clock_ms : int
        Time on the worker's clock.
    born_ms : BornMs
    running : tuple of RunningTask
    ended : tuple of EndedTask
        Ends that are not acknowledged, in the order of their numbers.
    has_more_ends : bool
        Whether there are more of them than one reply lists.
    """

    clock_ms: int
    born_ms: BornMs
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    has_more_ends: bool = False


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run on a worker."""

    worker: WorkerEntry
    task: TaskKey
    run: RunNumber
    spec: str
    fence: Fence
    until_ms: int
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run on a worker."""

    worker: WorkerEntry
    task: TaskKey
    run: RunNumber
    fence: Fence


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Throttles a run."""

    worker: WorkerEntry
    task: TaskKey
    run: RunNumber
    fence: Fence
    percent: int


class RelayPermit(Struct, frozen=True, kw_only=True):
    """Permission of a daemon to send orders of the scheduler for a short time.

    Parameters
    ----------
    incarnation : int
        The process that it is given to; one that has restarted has another clock.
    until_ms : int
        When the permission ends, on that daemon's clock.
    """

    incarnation: int
    until_ms: int


class OrderOutcome(Enum):
    """Result of an order to a worker."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED = "outdated"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other-worker"
    UNSENT = "unsent"
    #: The daemon that was to relay it has certainly not sent it.
    NOT_RELAYED = "not-relayed"
    UNKNOWN = "unknown"


class VmCondition(Enum):
    """Condition of a VM as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class VmRecord(Struct, frozen=True, kw_only=True):
    """Entry of a VM in the platform's list."""

    vm: VmId
    pool: PoolId
    condition: VmCondition
    data_centre: DataCentreId
    labels: tuple[str, ...]
    capacity: Resources
    worker: WorkerId


class VmOrderOutcome(Enum):
    """Result of an order about a VM."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    MALFORMED = "malformed"
    UNAVAILABLE = "unavailable"
    UNSENT = "unsent"
