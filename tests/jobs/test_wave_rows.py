"""Rows of maintenance waves."""

from __future__ import annotations

import asyncio
import random

import pytest

from currantstage.application.jobs._repository import JobRepository
from currantstage.coordination.jobs import SchedulerTuning
from currantstage.platform import OperatorRows
from currantstage.standin.jobs import POOLS, SPARE_POOL, SimulatedSite, SimulatedStore
from currantstage.standin.jobs._site_ports import SimulatedOperators
from currantstage.standin.jobs._store import LATE_MAX_S
from currantstage.state.jobs import (
    JobState,
    MaintenanceWave,
    RowName,
    RowWrite,
    StoreUnavailable,
)
from tests.jobs.captured_log import captured_log
from tests.jobs.site import SETTLE_S, run_scenario, start_site, step

STATUS = RowName("status", "", "wave/1")


@pytest.mark.parametrize("count", [0, 3, 1100, 2000])
def test_wave_of_a_whole_fleet_fits_its_rows(count: int) -> None:
    # LOST, MIXED: what was done of a wave could not be stored any more.
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        repository = JobRepository(store.for_caller("a"))
        done = [f"{number:04d}" + "v" * 196 for number in range(count)]
        await repository.record_maintained(12, ["other"])
        await repository.record_maintained(1, done)
        assert await repository.read_wave(1) == tuple(done)
        assert await repository.read_wave(12) == ("other",)

    run_scenario(scenario())


def test_row_of_a_wave_that_can_not_be_decoded_does_not_hide_the_others() -> None:
    """Each scheduler's term ended when it read the wave."""

    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        repository = JobRepository(store.for_caller("a"))
        await repository.record_maintained(1, ["m-1"])
        malformed = RowName("waves", "", "1.malformed")
        store.apply((), (RowWrite(malformed, b"{"),))
        with captured_log() as log:
            assert await repository.read_wave(1) == ("m-1",)
        (line,) = log.lines("row-malformed")
        assert line["key"] == malformed.key

    run_scenario(scenario())


# Review case 9: a late write of one VM replaced the record of two.
def test_late_write_of_a_wave_removes_nothing_that_was_stored_after_it() -> None:
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        repository = JobRepository(store.for_caller("a"))
        store.lost_fraction = store.late_fraction = 1.0
        with pytest.raises(StoreUnavailable):
            await repository.record_maintained(1, ["m-00"])
        store.lost_fraction = 0.0
        await repository.record_maintained(1, ["m-00", "m-01"])
        await asyncio.sleep(LATE_MAX_S)
        assert await repository.read_wave(1) == ("m-00", "m-01")

    run_scenario(scenario())


def test_late_report_of_a_beginning_doesnt_replace_that_of_the_end() -> None:
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        operators = OperatorRows(store.for_caller("a"))
        store.lost_fraction = store.late_fraction = 1.0
        with pytest.raises(StoreUnavailable):
            await operators.write_wave_state(1, is_completed=False)
        store.lost_fraction = 0.0
        await operators.write_wave_state(1, is_completed=True)
        await asyncio.sleep(LATE_MAX_S)
        assert b"completed" in (store.rows[STATUS].value or b"")

    run_scenario(scenario())


def test_wave_is_reported_as_completed_once_all_of_it_is_stored() -> None:
    async def scenario() -> None:
        site = await start_site(3)
        vms = tuple(f"m-{POOLS[0]}-{number}" for number in range(2))
        site.announce_wave(
            MaintenanceWave(number=1, vms=vms, complete_by_s=20, max_down=1)
        )
        while not site.vms.maintained:
            await asyncio.sleep(0.1)
        site.store.lost_fraction = site.store.late_fraction = 0.7
        for _ in range(400):
            await asyncio.sleep(0.1)
            if site.store.rows[STATUS].value == b"completed":
                break
        repository = JobRepository(site.store.for_caller("operator"))
        site.store.lost_fraction = 0.0
        assert site.store.rows[STATUS].value == b"completed"
        assert await repository.read_wave(1) == vms

    run_scenario(scenario())


# Review case 9: the workers of VMs that were ordered again got no start any more.
@pytest.mark.parametrize("seed", range(4))
def test_tasks_run_on_vms_that_a_new_scheduler_orders_again(seed: int) -> None:
    async def scenario() -> None:
        site = SimulatedSite(seed)
        site.tuning = SchedulerTuning(min_vms_per_pool=3)
        await site.start()
        await asyncio.sleep(SETTLE_S)
        vms = tuple(f"m-{POOLS[0]}-{number}" for number in range(3))
        site.announce_wave(
            MaintenanceWave(number=1, vms=vms, complete_by_s=20, max_down=2)
        )
        while len(site.vms.maintained) < len(vms):
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        rows = [name for name in site.store.rows if name.table == "waves"]
        site.store.apply((), [RowWrite(name, None) for name in rows])
        name = site.scheduler_name()
        assert name is not None
        site.kill_daemon(name)
        await site.start_daemon(name)
        await asyncio.sleep(15)
        steps = [step(1, needed_label=f"rack-{number}") for number in range(3)]
        jobs = [await site.submit((each,), POOLS[0]) for each in steps]
        await asyncio.sleep(5)
        states = [await site.show(job) for job in jobs]
        assert states == [JobState.COMPLETED] * 3
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_wave_whose_rows_cant_be_read_holds_up_no_move() -> None:
    """No VM joined a pool that lacked some, for as long as the rows were away."""

    async def scenario() -> None:
        site = await start_site(3)
        site.store.refused_partitions.add("")
        vms = (f"m-{POOLS[1]}-0",)
        site.announce_wave(
            MaintenanceWave(number=1, vms=vms, complete_by_s=20, max_down=1)
        )
        await asyncio.sleep(2.0)
        for _ in range(20):
            await site.submit((step(count=24, cpu=4000, run_ms=2000),))
        await asyncio.sleep(5.0)
        spare = [f"m-{SPARE_POOL}-{number}" for number in range(3)]
        assert {site.vms.pool_of(vm) for vm in spare} == {POOLS[0]}

    run_scenario(scenario())


def test_report_of_a_wave_without_an_answer_holds_up_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs were cordoned, and ran nothing, until the reports had failed."""

    async def time_out(*args: object, is_completed: bool) -> None:
        await asyncio.sleep(2.5)
        raise StoreUnavailable("timeout", is_in_doubt=True)

    async def scenario() -> None:
        site = await start_site(3)
        monkeypatch.setattr(SimulatedOperators, "write_wave_state", time_out)
        for pool in POOLS[:2]:
            await site.submit((step(24, run_ms=1000),), pool)
        await asyncio.sleep(0.3)
        for number, pool in enumerate(POOLS[:2], start=1):
            vms = (f"m-{pool}-0",)
            site.announce_wave(
                MaintenanceWave(number=number, vms=vms, complete_by_s=20, max_down=1)
            )
        await asyncio.sleep(4.0)
        assert len(site.vms.maintained) == 2

    run_scenario(scenario())
