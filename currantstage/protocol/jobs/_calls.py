"""Calls about jobs, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from currantstage.state import QueueId, TeamId
from currantstage.state.jobs import (
    ConfigurationVersion,
    JobQueue,
    JobState,
    Schedule,
    Step,
)

if TYPE_CHECKING:
    from returns.result import Result

    from currantstage.state.jobs import FleetConfiguration, JobId


class CallRefusal(Enum):
    """Why a call was not carried out."""

    NO_CONFIGURATION = "no-configuration"
    NO_SUCH_QUEUE = "no-such-queue"
    UNKNOWN_KEY = "unknown-key"
    NO_SUCH_JOB = "no-such-job"
    MALFORMED = "malformed"
    #: The store can't take a job of that size.
    NOT_STORABLE = "not-storable"
    UNAVAILABLE = "unavailable"
    IN_DOUBT = "in-doubt"


class CallAccess(Enum):
    """What a call does with the jobs of its queue."""

    READ = "read"
    WRITE = "write"


class JobBody(Struct, frozen=True):
    """Body of a job submission."""

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call that is authorised by the configuration in force.

    Parameters
    ----------
    queue : JobQueue
    team : TeamId
        Empty for a call without a key on a queue that is open to all.
    deadline_s : float
        Time at which the caller stops waiting, on the daemon's clock, in seconds.
    configuration : ConfigurationVersion
        The version that allows the call.
    """

    queue: JobQueue
    team: TeamId
    deadline_s: float
    configuration: ConfigurationVersion


class CallTarget(Protocol):
    """How a call names its queue."""

    def find_queue(self, configuration: FleetConfiguration) -> JobQueue | None:
        """Return the queue, or None if the configuration has no such queue."""


class RoutedTarget(Struct, frozen=True, tag="routed"):
    """The queue that requests to a host and path are routed to."""

    host: str
    path: str

    def __str__(self) -> str:
        return self.host + self.path

    def find_queue(self, configuration: FleetConfiguration) -> JobQueue | None:
        """Return the queue, or None if the configuration has no such route."""
        return configuration.route(self.host, self.path)


class QueueTarget(Struct, frozen=True, tag="queue"):
    """The queue with a given id."""

    queue: QueueId

    def __str__(self) -> str:
        return self.queue

    def find_queue(self, configuration: FleetConfiguration) -> JobQueue | None:
        """Return the queue, or None if the configuration has no such queue."""
        return configuration.queue(self.queue)


#: Targets that a message between daemons can carry.
AnyTarget = RoutedTarget | QueueTarget


class CallDecision(Struct, frozen=True, kw_only=True):
    """What one version of the configuration says about a call.

    Parameters
    ----------
    configuration : ConfigurationVersion
    queue : JobQueue, optional
        None if it has no such queue.
    team : TeamId
        Empty for a call without a known key.
    refusal : CallRefusal, optional
        None if the call is allowed.
    """

    configuration: ConfigurationVersion
    queue: JobQueue | None = None
    team: TeamId = TeamId("")
    refusal: CallRefusal | None = None


class JobService(Protocol):
    """Serves all calls about jobs; one implementation for all front ends."""

    def retry_after_s(self) -> int:
        """Return the delay, in seconds, before retrying a temporarily refused call."""

    async def admit(
        self,
        target: AnyTarget,
        key: str,
        deadline_ms: int | None,
        access: CallAccess = CallAccess.WRITE,
    ) -> Result[AdmittedCall, CallRefusal]:
        """Find a call's queue and check its key; the caller waits `deadline_ms`."""

    async def submit(
        self, call: AdmittedCall, job: JobId, body: JobBody
    ) -> CallRefusal | None:
        """Submit a job; returns None once it is stored."""

    async def show(self, call: AdmittedCall, job: JobId) -> JobState | CallRefusal:
        """Return the state of a job."""

    async def cancel(self, call: AdmittedCall, job: JobId) -> CallRefusal | None:
        """Cancel a job; returns None once the cancellation is stored."""

    async def count_waiting(self, call: AdmittedCall) -> int | CallRefusal:
        """Return the number of jobs in the queue that have not started a task."""
