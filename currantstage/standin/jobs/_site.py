"""Simulation of a site in virtual time: daemons, platform, operators and callers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from currantstage.application.jobs import JobCore, JobMetrics, SchedulerPorts
from currantstage.coordination.jobs import SchedulerCapacity, SchedulerTuning
from currantstage.protocol.jobs import (
    CallAccess,
    CallRefusal,
    JobBody,
    MemberRow,
    QueueTarget,
)
from currantstage.standin.jobs._advice import SimulatedAdvice
from currantstage.standin.jobs._oracle import Oracle
from currantstage.standin.jobs._site_ports import (
    SimulatedOperators,
    SimulatedWorkerEntries,
    SitePeers,
)
from currantstage.standin.jobs._store import SimulatedStore
from currantstage.standin.jobs._virtual_loop import CURRENT_PROCESS, LoopClock
from currantstage.standin.jobs._vms import SimulatedVms
from currantstage.standin.jobs._workers import (
    CLOCK_RATES,
    SimulatedWorkers,
)
from currantstage.state import DataCentreId, EntryVmId, PoolId, QueueId, TeamId
from currantstage.state.jobs import (
    BornMs,
    ConfigurationVersion,
    FleetConfiguration,
    JobId,
    JobPool,
    JobQueue,
    JobState,
    JobTeam,
    MaintenanceWave,
    Resources,
    RowName,
    RowWrite,
    Step,
    Submission,
    WorkerEntry,
    WorkerId,
)

if TYPE_CHECKING:
    from collections.abc import Sequence


POOLS = (PoolId("parcels"), PoolId("letters"))
SPARE_POOL = PoolId("spare")
VM_CAPACITY = Resources(8000, 16384, 0)
#: Time in which a change of the configuration has to be in force, in seconds.
APPLY_S = 2.0
#: Timeout of callers, in milliseconds.
CALL_DEADLINE_MS = 3000
#: Attempts of a caller per call, and the pause between them in seconds.
CALL_ATTEMPTS = 6
CALL_PAUSE_S = 1.0
#: Capacity of a daemon as the scheduler by default.
DEFAULT_CAPACITY = SchedulerCapacity(link_mbps=10.0, cpu_cores=0.5)
#: Maximum time that all daemons are down at once, in seconds.
MAX_ALL_DOWN_S = 20

_CONFIGURATION_ROW = RowName("op", "", "config")


def build_configuration(
    version: int = 1, pools: Sequence[PoolId] = POOLS
) -> FleetConfiguration:
    """Return a configuration: a queue for each of `pools`, a spare pool, two teams."""
    return FleetConfiguration(
        version=ConfigurationVersion(version),
        queues=tuple(
            JobQueue(
                queue=QueueId(f"q-{pool}"),
                host="example",
                path_prefix=f"/{pool}/",
                pool=pool,
                max_attempts=3,
                stretch=1.6,
                slack_ms=600,
            )
            for pool in pools
        ),
        pools=(
            *(JobPool(pool=pool) for pool in pools),
            JobPool(pool=SPARE_POOL, is_spare=True),
        ),
        teams=(
            JobTeam(team=TeamId("east"), keys=("key-east",)),
            JobTeam(
                team=TeamId("west"),
                keys=("key-west",),
                upper_limit=Resources(12000, 0, 0),
            ),
        ),
    )


class SimulatedSite:
    """Builds and drives a site; all random choices derive from `seed`.

    Parameters
    ----------
    seed : int
    daemon_count : int
    vms_per_pool : int
    clock_rates : sequence of float
        Rates of the workers' clocks, in turn.
    """

    def __init__(
        self,
        seed: int,
        daemon_count: int = 3,
        vms_per_pool: int = 3,
        clock_rates: Sequence[float] = CLOCK_RATES,
    ) -> None:
        self.random = random.Random(seed)
        self.tuning = SchedulerTuning(min_vms_per_pool=1)
        self.configuration = build_configuration()
        self.store = SimulatedStore(self.random)
        self.oracle = Oracle(self.configuration)
        self.workers = SimulatedWorkers(
            self.store, self.oracle, self.random, clock_rates
        )
        self.vms = SimulatedVms(self.workers, self.oracle)
        self.daemons: dict[str, JobCore] = {}
        #: Daemons that do not answer peers, and those whose connections are reset.
        self.silent_daemons: set[str] = set()
        self.resetting_daemons: set[str] = set()
        #: Time in seconds after which paused daemons handle a query of a peer.
        self.peer_delays_s: dict[str, float] = {}
        #: Capacities of daemons that differ from the default.
        self.capacities: dict[str, SchedulerCapacity] = {}
        #: The service of advice that the daemons ask; None at a site without one.
        self.advice: SimulatedAdvice | None = SimulatedAdvice()
        self._names = [f"entry-{number}" for number in range(daemon_count)]
        self._jobs = 0
        for pool in (*POOLS, SPARE_POOL):
            for number in range(vms_per_pool):
                self._add_vm(pool, number)

    async def start(self) -> None:
        """Write the configuration and start every daemon."""
        self.configure(self.configuration)
        for name in self._names:
            await self.start_daemon(name)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Write a configuration to the store."""
        self.configuration = configuration
        self.oracle.configuration = configuration
        value = msgspec.json.encode(configuration)
        self.store.apply((), (RowWrite(_CONFIGURATION_ROW, value),))

    def announce_wave(self, wave: MaintenanceWave) -> None:
        """Write a maintenance wave to the store."""
        name = RowName("op", "", f"wave/{wave.number}")
        self.store.apply((), (RowWrite(name, msgspec.json.encode(wave)),))
        self.vms.waves[wave.number] = wave

    async def start_daemon(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        """Start a daemon; `seeds` are the peers that its settings name."""
        token = CURRENT_PROCESS.set(name)
        store = self.store.for_caller(name)
        clock = LoopClock()
        ports = SchedulerPorts(
            workers=SimulatedWorkerEntries(store),
            operators=SimulatedOperators(store),
            orders=self.workers.for_caller(name),
            vms=self.vms,
            advice=self.advice,
            clock=clock,
            unix_clock=clock,
            metrics=JobMetrics(),
        )
        own = MemberRow(
            entry_vm=EntryVmId(name),
            peer_address=name,
            capacity=self.capacities.get(name, DEFAULT_CAPACITY),
        )
        peers = SitePeers(self, name)
        core = JobCore(
            own, seeds, store, ports, peers, self.tuning, self.random, APPLY_S
        )
        self.daemons[name] = core
        await core.follower.start()
        await core.directory.start()
        await core.ownership.start()
        CURRENT_PROCESS.reset(token)

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon's process without a graceful stop."""
        self.daemons.pop(name, None)
        loop = asyncio.get_running_loop()
        loop.kill(name)  # type: ignore[attr-defined]

    async def stop_daemon(self, name: str) -> None:
        """Stop a daemon gracefully."""
        core = self.daemons.pop(name)
        token = CURRENT_PROCESS.set(name)
        await core.ownership.close()
        await core.follower.close()
        await core.directory.close()
        CURRENT_PROCESS.reset(token)

    def scheduler_name(self) -> str | None:
        """Return the name of the daemon that is the scheduler now, if any."""
        for name, core in self.daemons.items():
            session = core.ownership.session
            if session is not None and session.scheduler is not None:
                return name
        return None

    async def submit(
        self,
        steps: tuple[Step, ...],
        pool: PoolId = POOLS[0],
        team: str = "east",
        spec: str = "work",
        daemon: str = "",
    ) -> JobId:
        """Submit a job as a caller does, until it is accepted or attempts run out.

        `daemon` names the daemon to call; by default each attempt picks one at random.
        """
        self._jobs += 1
        job = JobId(f"{self._jobs:016x}"[::-1])
        submission = Submission(
            job=job,
            queue=QueueId(f"q-{pool}"),
            pool=pool,
            team=TeamId(team),
            spec=spec,
            steps=steps,
        )
        self.oracle.submitted[job] = submission
        for _ in range(CALL_ATTEMPTS):
            if await self._submit_once(submission, daemon) is None:
                self.oracle.accepted_s[job] = _now_s()
                break
            await asyncio.sleep(CALL_PAUSE_S)
        return job

    async def submit_to(
        self, core: JobCore, steps: tuple[Step, ...]
    ) -> CallRefusal | None:
        """Submit a job once, to one daemon; return why it was refused, if it was."""
        target = QueueTarget(QueueId(f"q-{POOLS[0]}"))
        call = await core.calls.admit(target, "key-east", CALL_DEADLINE_MS)
        if isinstance(call, Failure):
            refusal: CallRefusal = call.failure()
            return refusal
        job = JobId("f" * 16)
        return await core.calls.submit(call.unwrap(), job, JobBody("work", steps))

    async def resubmit(self, job: JobId) -> bool:
        """Resubmit a job as a caller does; return whether it was accepted."""
        return await self._submit_once(self.oracle.submitted[job], "") is None

    async def cancel(self, job: JobId) -> bool:
        """Cancel a job as a caller does; return whether this was acknowledged."""
        core = await self._pick_daemon()
        if not core.is_configured():
            return False
        target = QueueTarget(self.oracle.submitted[job].queue)
        call = await core.calls.admit(target, "key-east", CALL_DEADLINE_MS)
        if isinstance(call, Failure):
            return False
        if await core.calls.cancel(call.unwrap(), job) is not None:
            return False
        self.oracle.cancelled_s[job] = _now_s()
        return True

    async def show(self, job: JobId) -> JobState | None:
        """Return a job's state as a caller sees it."""
        core = await self._pick_daemon()
        target = QueueTarget(self.oracle.submitted[job].queue)
        call = await core.calls.admit(
            target, "key-east", CALL_DEADLINE_MS, CallAccess.READ
        )
        if isinstance(call, Failure):
            return None
        state = await core.calls.show(call.unwrap(), job)
        return None if isinstance(state, CallRefusal) else state

    async def check_final(self) -> None:
        """Check the state of every job at the end of a simulation."""
        states = {job: await self.show(job) for job in self.oracle.submitted}
        self.oracle.check_final(states)

    async def _submit_once(
        self, submission: Submission, daemon: str
    ) -> CallRefusal | None:
        core = self.daemons[daemon] if daemon else await self._pick_daemon()
        if not core.is_configured():
            return CallRefusal.NO_CONFIGURATION
        key = f"key-{submission.team}"
        target = QueueTarget(submission.queue)
        call = await core.calls.admit(target, key, CALL_DEADLINE_MS)
        if isinstance(call, Failure):
            refusal: CallRefusal = call.failure()
            return refusal
        body = JobBody(submission.spec, submission.steps, submission.schedule)
        work = asyncio.ensure_future(
            core.calls.submit(call.unwrap(), submission.job, body)
        )
        try:
            async with asyncio.timeout(CALL_DEADLINE_MS / 1000):
                return await work
        except (TimeoutError, asyncio.CancelledError):
            return CallRefusal.IN_DOUBT

    async def _pick_daemon(self) -> JobCore:
        for _ in range(MAX_ALL_DOWN_S):
            if self.daemons:
                break
            await asyncio.sleep(CALL_PAUSE_S)
        return self.random.choice(list(self.daemons.values()))

    def _add_vm(self, pool: PoolId, number: int) -> None:
        entry = WorkerEntry(
            worker=WorkerId(f"i-{pool}-{number}"),
            pool=pool,
            address=f"{pool}-{number}",
            data_centre=DataCentreId(f"dc-{number % 3}"),
            is_draining=False,
            capacity=VM_CAPACITY,
            labels=("a", f"rack-{number}"),
            born_ms=BornMs(1),
        )
        self.vms.add(f"m-{pool}-{number}", entry, has_worker=pool != SPARE_POOL)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
