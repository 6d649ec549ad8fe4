"""Scenarios on the simulated site with load and faults drawn from a seed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.jobs import POOLS, SimulatedSite
from currantstage.state.jobs import MaintenanceWave
from tests.jobs.site import step

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantstage.state.jobs import JobId, Step, WorkerId

#: Duration of load and faults, and time to recover after them, in seconds.
LOAD_S = 25.0
RECOVERY_S = 40.0


class RandomScenario:
    """Runs load and faults concurrently on a site.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed: int) -> None:
        self.site = SimulatedSite(seed)
        self._random = self.site.random
        self._jobs: list[JobId] = []
        self._waves = 0
        self.injected_faults: list[str] = []

    async def run(self) -> list[str]:
        """Run the scenario; return the violations of invariants."""
        site = self.site
        await site.start()
        await asyncio.sleep(2)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LOAD_S
        load = asyncio.create_task(self._submit_until(end_s))
        faults = [
            asyncio.create_task(self._inject_faults_until(end_s)) for _ in range(2)
        ]
        await asyncio.gather(load, *faults)
        self._clear_faults()
        await asyncio.sleep(RECOVERY_S)
        await site.check_final()
        return site.oracle.violations

    async def _submit_until(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        submitting = []
        while loop.time() < end_s:
            await asyncio.sleep(self._random.expovariate(3.0))
            task = asyncio.create_task(self._submit_one())
            submitting.append(task)
        await asyncio.gather(*submitting)

    async def _submit_one(self) -> None:
        pool = self._random.choice(POOLS)
        team = self._random.choice(("east", "west"))
        spec = "hopeless" if self._random.random() < 0.05 else "work"
        steps = self._steps()
        if steps[0].is_long_running:
            # Long-running jobs would use up the upper limit of the other team for good.
            team = "east"
        job = await self.site.submit(steps, pool, team=team, spec=spec)
        self._jobs.append(job)

    def _steps(self) -> tuple[Step, ...]:
        rng = self._random
        if rng.random() < 0.08:
            return (step(3, run_ms=0, is_long_running=True, max_unavailable=1),)
        first = step(rng.randint(1, 6), run_ms=rng.randint(100, 2500))
        if rng.random() < 0.5:
            return (first,)
        second = step(rng.randint(1, 4), run_ms=rng.randint(100, 1500), after=(0,))
        return (first, second)

    async def _inject_faults_until(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill_daemon,
            self._kill_scheduler,
            self._kill_all,
            self._stop_daemon,
            self._lose_store_replies,
            self._disconnect_store,
            self._isolate_daemon,
            self._truncate_store_history,
            self._crash_worker,
            self._crash_worker_silently,
            self._isolate_worker,
            self._restart_worker,
            self._delay_orders,
            self._fail_runs,
            self._cancel_jobs,
            self._announce_wave,
        ]
        while loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            fault = self._random.choice(faults)
            self.injected_faults.append(f"{loop.time():.2f} {fault.__name__}")
            await fault()

    def _clear_faults(self) -> None:
        site = self.site
        site.store.unreachable_for = set()
        site.store.lost_fraction = 0.0
        site.silent_daemons = set()
        site.resetting_daemons = set()
        site.workers.unreachable = set()
        site.workers.unreachable_pairs = set()
        site.workers.late_fraction = 0.0
        site.workers.late_hold_fraction = 0.0
        site.workers.failing_fraction = 0.0

    async def _kill_daemon(self) -> None:
        name = self._random_daemon()
        if name is not None:
            await self._restart(name)

    async def _kill_scheduler(self) -> None:
        name = self.site.scheduler_name()
        if name is not None:
            await self._restart(name)

    async def _kill_all(self) -> None:
        names = list(self.site.daemons)
        for name in names:
            self.site.kill_daemon(name)
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        for name in names:
            if name not in self.site.daemons:
                await self.site.start_daemon(name)

    async def _restart(self, name: str) -> None:
        self.site.kill_daemon(name)
        await asyncio.sleep(self._random.uniform(0.1, 4.0))
        if name not in self.site.daemons:
            await self.site.start_daemon(name)

    async def _stop_daemon(self) -> None:
        name = self._random_daemon()
        if name is None:
            return
        await self.site.stop_daemon(name)
        await asyncio.sleep(0.5)
        if name not in self.site.daemons:
            await self.site.start_daemon(name)

    async def _lose_store_replies(self) -> None:
        self.site.store.lost_fraction = 0.3
        self.site.store.late_fraction = self._random.choice((0.0, 0.5, 1.0))
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        self.site.store.lost_fraction = 0.0

    async def _disconnect_store(self) -> None:
        self.site.store.unreachable_for = {"*"}
        await asyncio.sleep(self._random.uniform(0.5, 7.0))
        self.site.store.unreachable_for = set()

    async def _isolate_daemon(self) -> None:
        """Isolate a daemon from the store and its peers; cut links to some workers."""
        site = self.site
        name = self._random_daemon()
        if name is None:
            return
        refuses = self._random.random() < 0.5
        (site.resetting_daemons if refuses else site.silent_daemons).add(name)
        site.store.unreachable_for.add(name)
        for other in site.daemons:
            for worker in site.workers.workers:
                if self._random.random() < 0.4:
                    site.workers.unreachable_pairs.add((other, worker))
        await asyncio.sleep(self._random.uniform(1.0, 7.0))
        site.silent_daemons.discard(name)
        site.resetting_daemons.discard(name)
        site.store.unreachable_for.discard(name)
        site.workers.unreachable_pairs = set()

    async def _truncate_store_history(self) -> None:
        self.site.store.compact_history()

    async def _crash_worker(self) -> None:
        worker = self._random_worker()
        if worker is not None:
            self.site.workers.crash(worker)
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            self.site.workers.restart(worker)

    async def _crash_worker_silently(self) -> None:
        worker = self._random_worker()
        if worker is not None:
            self.site.workers.crash(worker, is_silent=True)
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            self.site.workers.restart(worker)

    async def _isolate_worker(self) -> None:
        worker = self._random_worker()
        if worker is not None:
            self.site.workers.unreachable.add(worker)
            await asyncio.sleep(self._random.uniform(0.5, 7.0))
            self.site.workers.unreachable.discard(worker)

    async def _restart_worker(self) -> None:
        worker = self._random_worker()
        if worker is not None:
            self.site.workers.restart(worker)

    async def _delay_orders(self) -> None:
        self.site.workers.late_fraction = 0.1
        self.site.workers.late_hold_fraction = 0.1
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        self.site.workers.late_fraction = 0.0
        self.site.workers.late_hold_fraction = 0.0

    async def _fail_runs(self) -> None:
        self.site.workers.failing_fraction = 0.2
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        self.site.workers.failing_fraction = 0.0

    async def _cancel_jobs(self) -> None:
        for job in self._random.sample(self._jobs, min(3, len(self._jobs))):
            if job in self.site.oracle.accepted_s:
                await self.site.cancel(job)

    async def _announce_wave(self) -> None:
        self._waves += 1
        vms = [f"m-{pool}-{number}" for pool in POOLS for number in range(3)]
        chosen = tuple(self._random.sample(vms, 3))
        self.site.announce_wave(
            MaintenanceWave(
                number=self._waves, vms=chosen, complete_by_s=20, max_down=1
            )
        )

    def _random_daemon(self) -> str | None:
        """Return a random daemon; None if only one is running."""
        names = list(self.site.daemons)
        return self._random.choice(names) if len(names) > 1 else None

    def _random_worker(self) -> WorkerId | None:
        """Return a random worker that is up; None if fewer than four are."""
        up = [each for each in self.site.workers.workers.values() if each.is_up]
        if len(up) < 4:
            return None
        return self._random.choice(up).entry.worker
