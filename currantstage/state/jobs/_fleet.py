"""Operator configuration: queues, pools, teams, limits and maintenance waves."""

from __future__ import annotations

from functools import cached_property

from msgspec import Struct

from currantstage.state._ids import PoolId, QueueId, TeamId
from currantstage.state.jobs._ids import ConfigurationVersion
from currantstage.state.jobs._jobs import NO_RESOURCES, Resources


class AdvicePolicy(Struct, frozen=True, kw_only=True):
    """Advice settings of a queue whose steps may run only on advised workers."""

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class JobQueue(Struct, frozen=True, kw_only=True):
    """A queue of jobs.

    Parameters
    ----------
    queue : QueueId
    host, path_prefix : str
        Host and path prefix of requests to the queue.
    pool : PoolId
        Pool whose workers run the queue's tasks.
    priority : int
        Zero is the highest priority.
    max_attempts : int
        Number of failed runs of a task after which its job fails.
    stretch : float
        Duration objective, as a multiple of the job's critical path.
    slack_ms : int
        Constant added to the objective, in milliseconds.
    timeout_ms : int
        Maximum duration of a call, in milliseconds.
    is_public : bool
        Whether calls are accepted without a key.
    advice : AdvicePolicy, optional
    """

    queue: QueueId
    host: str
    path_prefix: str
    pool: PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    timeout_ms: int = 3000
    is_public: bool = False
    advice: AdvicePolicy | None = None


class JobPool(Struct, frozen=True, kw_only=True):
    """A pool of workers."""

    pool: PoolId
    is_spare: bool = False
    guards_capacity: bool = False


class JobTeam(Struct, frozen=True, kw_only=True):
    """A team, its keys, its share and its upper limit.

    Parameters
    ----------
    team : TeamId
    keys : tuple of str
    share : float
        Jobs a second that it is sure of when all is full; zero means any number.
    upper_limit : Resources
        What its tasks may use at once.
    """

    team: TeamId
    keys: tuple[str, ...]
    share: float = 0.0
    upper_limit: Resources = NO_RESOURCES


class FleetConfiguration(Struct, frozen=True, kw_only=True, dict=True):
    """One version of the operators' configuration.

    Queues and teams are found through indexes, which are built when they are first
    needed. Of several with the same name, the first counts.
    """

    version: ConfigurationVersion
    queues: tuple[JobQueue, ...]
    pools: tuple[JobPool, ...]
    teams: tuple[JobTeam, ...]
    max_body_bytes: int = 262_144

    def queue(self, queue: QueueId) -> JobQueue | None:
        """Return the queue named `queue`, or None if there is none."""
        return self._queues_by_id.get(queue)

    def pool(self, pool: PoolId) -> JobPool | None:
        """Return the pool named `pool`, or None if there is none."""
        return next((each for each in self.pools if each.pool == pool), None)

    def team(self, team: TeamId) -> JobTeam | None:
        """Return the team named `team`, or None if there is none."""
        return self._teams_by_id.get(team)

    def team_of_key(self, key: str) -> JobTeam | None:
        """Return the team that `key` belongs to, or None if the key is unknown."""
        return self._teams_by_key.get(key)

    def route(self, host: str, path: str) -> JobQueue | None:
        """Return the queue of `host` with the longest prefix matching `path`."""
        matching = [
            each
            for each in self._queues_by_host.get(host, ())
            if path.startswith(each.path_prefix)
        ]
        return max(matching, key=lambda each: len(each.path_prefix), default=None)

    @cached_property
    def _queues_by_id(self) -> dict[QueueId, JobQueue]:
        return {each.queue: each for each in reversed(self.queues)}

    @cached_property
    def _teams_by_id(self) -> dict[TeamId, JobTeam]:
        return {each.team: each for each in reversed(self.teams)}

    @cached_property
    def _teams_by_key(self) -> dict[str, JobTeam]:
        return {key: each for each in reversed(self.teams) for key in each.keys}

    @cached_property
    def _queues_by_host(self) -> dict[str, list[JobQueue]]:
        by_host: dict[str, list[JobQueue]] = {}
        for each in self.queues:
            by_host.setdefault(each.host, []).append(each)
        return by_host


class MaintenanceWave(Struct, frozen=True, kw_only=True):
    """A set of VMs that are due for maintenance.

    Parameters
    ----------
    number : int
    vms : tuple of str
    complete_by_s : float
        Time from the announcement to the deadline of the wave, in seconds.
    max_down : int
        Maximum number of VMs down for the wave at once.
    """

    number: int
    vms: tuple[str, ...]
    complete_by_s: float
    max_down: int
