"""Components of a daemon that schedules jobs, independent of the transport."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.application.jobs._admission import CallAdmission
from currantstage.application.jobs._calls import JobCallService
from currantstage.application.jobs._configuration import ConfigurationFollower
from currantstage.application.jobs._directory import PeerDirectory
from currantstage.application.jobs._job_writer import JobWriter
from currantstage.application.jobs._monitored_store import MonitoredStore
from currantstage.application.jobs._ownership import LeaseOwnership
from currantstage.application.jobs._peer_admission import PeerAdmission
from currantstage.application.jobs._peer_configuration import PeerConfigurationSource
from currantstage.application.jobs._peer_query_handler import PeerQueryHandler
from currantstage.application.jobs._relay_client import RelayClient
from currantstage.application.jobs._repository import JobRepository
from currantstage.application.jobs._start_relay import StartRelay
from currantstage.coordination.jobs import StoreHealth, count_by_pool

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from currantstage.application.jobs._directory import PeerQueries
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.coordination.jobs import SchedulerTuning
    from currantstage.protocol.jobs import MemberRow
    from currantstage.state import PoolId
    from currantstage.state.jobs import PartitionedStore


class JobCore:
    """Wires configuration, peers, the scheduler's lease and callers' calls together.

    Parameters
    ----------
    own : MemberRow
    seeds : sequence of str
        Peer addresses from the settings.
    store : PartitionedStore
    ports : SchedulerPorts
    peers : PeerQueries
    tuning : SchedulerTuning
    random : random.Random
    apply_s : float
        Time in which a change of the configuration has to be in force, in seconds.
    """

    def __init__(
        self,
        own: MemberRow,
        seeds: Sequence[str],
        store: PartitionedStore,
        ports: SchedulerPorts,
        peers: PeerQueries,
        tuning: SchedulerTuning,
        random: random.Random,
        apply_s: float,
    ) -> None:
        self._clock = ports.clock
        health = StoreHealth()
        repository = JobRepository(MonitoredStore(store, health, ports.clock))
        self.directory = PeerDirectory(
            own, seeds, repository, peers, ports.clock, random
        )
        self.follower = ConfigurationFollower(
            ports.operators,
            PeerConfigurationSource(self.directory, ports.clock),
            ports.clock,
        )
        ports.metrics.observe_configuration(self.follower)
        self.ownership = LeaseOwnership(
            self.directory,
            repository,
            self.follower,
            ports,
            tuning,
            health,
            RelayClient(self.directory, ports.clock),
            random,
        )
        self._writer = JobWriter(repository, self.directory, health, ports.clock)
        admission = CallAdmission(
            self.follower,
            PeerAdmission(self.directory, self.follower, ports.clock),
            self._writer.is_isolated,
            ports.clock,
            apply_s,
        )
        self.calls = JobCallService(
            self.follower,
            admission,
            repository,
            self.directory,
            self.ownership,
            self._writer,
            health,
            ports.clock,
            ports.unix_clock,
            ports.metrics,
        )
        ports.metrics.observe_workers(self.count_workers)
        self.query_handler = PeerQueryHandler(
            self.follower,
            admission,
            self.directory,
            self.ownership,
            self._writer,
            StartRelay(ports.orders, ports.clock, random),
        )

    def is_scheduler(self) -> bool:
        """Return whether this daemon holds the scheduler's lease."""
        return self.ownership.session is not None

    def count_workers(self) -> Mapping[PoolId, Mapping[str, int]]:
        """Count the workers by pool and by what blocks starts, at the scheduler."""
        session = self.ownership.session
        if session is None or session.scheduler is None:
            return {}
        workers = session.scheduler.workers.states()
        return count_by_pool(workers, self._clock.now_s())

    def is_isolated(self) -> bool:
        """Return whether this daemon can reach neither the store nor the scheduler."""
        return self._writer.is_isolated() and not self.is_scheduler()

    def is_configured(self) -> bool:
        """Return whether this daemon has a configuration in force."""
        return self.follower.current is not None
