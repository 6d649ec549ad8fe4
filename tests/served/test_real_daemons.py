"""Real daemons against the served platform."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from currantstage.standin.served import (
    DaemonAction,
    DaemonEvent,
    Fault,
    FaultKind,
    Load,
    Scenario,
    Service,
    SiteSize,
    Trial,
)

if TYPE_CHECKING:
    from pathlib import Path

SIZE = SiteSize(daemons=3, vms_per_pool=8, spare_vms=0)
SEED = 52


def find(scenario: Scenario, duration_s: float, folder: Path) -> list[str]:
    """Return what a trial of `scenario` finds."""
    trial = Trial(scenario, SIZE, duration_s, random.Random(SEED), folder)
    report = asyncio.run(trial.run())
    print(report.render())
    assert report.accepted > 0
    return report.findings()


def test_jobs_complete_though_the_scheduler_stops_and_the_store_refuses(
    tmp_path: Path,
) -> None:
    scenario = Scenario(
        load=Load(jobs_per_s=2.0),
        faults=(Fault(Service.STORE, FaultKind.REFUSE, 7.0, 1.5),),
        events=(DaemonEvent(DaemonAction.STOP_SCHEDULER, 1.5),),
    )
    assert find(scenario, 9.0, tmp_path) == []


def test_pools_stay_open_while_orders_for_vms_are_unavailable(tmp_path: Path) -> None:
    orders_out = Fault(Service.VMS, FaultKind.UNAVAILABLE, 1.0, 11.0, orders_only=True)
    scenario = Scenario(
        load=Load(jobs_per_s=10.0, turn_s=3.0, hot_share=0.9), faults=(orders_out,)
    )
    assert find(scenario, 8.0, tmp_path) == []
