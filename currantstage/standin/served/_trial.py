"""A run of real daemons against the served platform, with checks."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Self

import aiohttp

from currantstage.platform.messages import decode_configuration
from currantstage.standin.served._caller import CallOutcome, JobCaller
from currantstage.standin.served._excuses import RECOVERY_S, is_excused
from currantstage.standin.served._faults import FaultBoard
from currantstage.standin.served._fleet import DaemonFleet
from currantstage.standin.served._load import JobSource
from currantstage.standin.served._observation import JobObserver
from currantstage.standin.served._platform import ServedPlatform
from currantstage.standin.served._report import TrialReport
from currantstage.standin.served._scenarios import build_scenario
from currantstage.standin.served._site import encode_configuration
from currantstage.standin.served._standstill import StandstillCheck
from currantstage.state.jobs import JobState
from currantstage.util import TaskSet

if TYPE_CHECKING:
    from pathlib import Path

    from currantstage.standin.served._scenarios import Scenario, ScenarioName
    from currantstage.standin.served._site import SiteSize
    from currantstage.state.jobs import Submission

#: Interval between two observations, in seconds.
OBSERVATION_S = 0.1
#: Time after the last submission in which all accepted jobs are completed, in seconds.
FINISH_S = 60.0
#: Number of jobs whose states are asked for at the same time.
ASKED_AT_ONCE = 20
#: Connections of the callers at the same time.
MAX_CONNECTIONS = 200


class Trial:
    """Runs daemons, callers and faults for a while, and reports what was seen.

    Parameters
    ----------
    scenario : Scenario
    size : SiteSize
    duration_s : float
        Time in which jobs are submitted.
    random : random.Random
        Source of all random choices of the callers and the platform.
    folder : Path
        Folder of the daemons' settings and logs.
    """

    def __init__(
        self,
        scenario: Scenario,
        size: SiteSize,
        duration_s: float,
        random: random.Random,
        folder: Path,
    ) -> None:
        self._scenario = scenario
        self._duration_s = duration_s
        self._random = random
        self._folder = folder
        self._board = FaultBoard()
        configuration = decode_configuration(encode_configuration())
        self._platform = ServedPlatform(size, self._board, random, configuration)
        self._observer = JobObserver(self._platform.oracle, self._platform.workers)
        self._check = StandstillCheck()
        self._report = TrialReport()
        self._accepted: list[Submission] = []
        self._open_submissions = 0
        self._submissions = TaskSet(self._record_failure)
        self._background = TaskSet(self._record_failure)

    @classmethod
    def from_seed(
        cls,
        name: ScenarioName,
        seed: int,
        duration_s: float,
        size: SiteSize,
        folder: Path,
    ) -> Self:
        """Create the trial of a scenario; `seed` determines all random choices."""
        source = random.Random(seed)
        scenario = build_scenario(name, source, duration_s)
        return cls(scenario, size, duration_s, source, folder)

    async def run(self) -> TrialReport:
        """Run the trial to its end."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as http:
            await self._platform.start()
            fleet = DaemonFleet(self._platform, self._board, http, self._folder)
            try:
                await fleet.start()
                await self._run_with(
                    fleet, JobCaller(http, fleet.daemons, self._random)
                )
            finally:
                await self._submissions.close()
                await self._background.close()
                await fleet.kill()
                await self._platform.close()
        self._check.close()
        report = self._report
        report.standstills = self._check.found
        report.violations = self._platform.oracle.violations
        report.unasked_ends = fleet.find_unasked_ends()
        report.log_faults = fleet.find_log_faults()
        report.most_blocked = fleet.find_most_blocked()
        report.vm_orders = self._platform.vms.planned_downtimes
        return report

    def _record_failure(self) -> None:
        self._report.failed_tasks += 1

    async def _run_with(self, fleet: DaemonFleet, caller: JobCaller) -> None:
        self._board.faults.extend(self._scenario.faults)
        self._platform.begin_run()
        self._background.spawn(fleet.watch())
        self._background.spawn(self._observe(fleet))
        self._background.spawn(self._carry_out_events(fleet))
        await self._submit_jobs(caller)
        await self._wait_finished()
        await self._ask_states(caller)
        await self._background.close()
        await fleet.close()

    async def _submit_jobs(self, caller: JobCaller) -> None:
        source = JobSource(self._scenario.load, self._random)
        while self._board.now_s < self._duration_s:
            submission = source.next_job(self._board.now_s)
            self._submissions.spawn(self._submit(submission, caller))
            await asyncio.sleep(source.next_pause_s())

    async def _submit(self, submission: Submission, caller: JobCaller) -> None:
        self._report.submitted += 1
        self._platform.oracle.submitted[submission.job] = submission
        self._open_submissions += 1
        outcome = await caller.submit(submission)
        self._open_submissions -= 1
        match outcome:
            case CallOutcome.ACCEPTED:
                self._report.accepted += 1
                self._accepted.append(submission)
                self._observer.add(submission)
            case CallOutcome.REFUSED:
                self._report.refused += 1
            case CallOutcome.UNKNOWN:
                self._report.unknown += 1

    async def _carry_out_events(self, fleet: DaemonFleet) -> None:
        """Let the events happen in turn; one may have to wait for the earlier one."""
        for event in self._scenario.events:
            await asyncio.sleep(max(0.0, event.at_s - self._board.now_s))
            await fleet.carry_out(event)

    async def _observe(self, fleet: DaemonFleet) -> None:
        while True:
            now_s = self._board.now_s
            self._check.observe(
                now_s,
                self._observer.standing_jobs(),
                self._observer.worker_rooms(),
                is_excused=(
                    fleet.is_out
                    or now_s < fleet.recovered_s + RECOVERY_S
                    or is_excused(now_s, self._board.faults)
                ),
            )
            await asyncio.sleep(OBSERVATION_S)

    async def _wait_finished(self) -> None:
        """Wait until all accepted jobs are done, but for `FINISH_S` at most."""
        until_s = self._duration_s + FINISH_S
        while self._board.now_s < until_s:
            if not (self._observer.has_unfinished_jobs or self._open_submissions):
                return
            await asyncio.sleep(OBSERVATION_S)

    async def _ask_states(self, caller: JobCaller) -> None:
        """Ask for the state of each accepted job, and record those not completed."""
        limit = asyncio.Semaphore(ASKED_AT_ONCE)

        async def ask(submission: Submission) -> None:
            async with limit:
                state = await self._final_state(submission, caller)
            if state is not JobState.COMPLETED:
                self._report.unfinished[submission.job] = state

        await asyncio.gather(*map(ask, self._accepted))

    async def _final_state(
        self, submission: Submission, caller: JobCaller
    ) -> JobState | None:
        """Ask for a job's state until it is final, but for `FINISH_S` at most."""
        until_s = self._duration_s + FINISH_S
        while True:
            state = await caller.show(submission)
            if state is None or state.is_final or self._board.now_s >= until_s:
                return state
            await asyncio.sleep(OBSERVATION_S)
