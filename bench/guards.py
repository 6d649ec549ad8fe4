"""Mutation test: remove one guard at a time in a copy and run its test."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
_CODE = Path("currantstage/coordination")
_COPIED = (
    "currantstage",
    "tests",
    "spec",
    "bench",
    "examples",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
_TIMEOUT_S = 300.0
#: Omits the shrinking phase of Hypothesis: a run ends with its first failure.
_CONFTEST = """
from hypothesis import Phase, settings

settings.register_profile("no-shrinking", phases=(Phase.explicit, Phase.generate))
settings.load_profile("no-shrinking")
"""
_ALLOTMENTS = "tests/fuzz/test_allotment_machine.py"
_NOTES = "tests/fuzz/test_note_machine.py"
_NOTE_REPLAY = "tests/spec/test_note_replay.py"
_ALLOTMENT_REPLAY = "tests/spec/test_allotment_replay.py"
_REQUESTS = "tests/fuzz/test_request_machine.py"
_FLEET = "tests/fuzz/test_fleet_machine.py"
_DUTIES = "tests/coordination/test_duty_lease.py"
_STORE = "tests/coordination/test_store_access.py"
_JOBS = "tests/jobs"
_EVACUATION = "tests/jobs/test_evacuation_plan.py"
_HOLDS = "tests/jobs/test_room_holds.py"
_RELAYS = "tests/jobs/test_start_relays.py"
_RELEASE = "tests/jobs/test_release.py"
_ROOM = "tests/jobs/test_room_for_long_running_tasks.py"


@dataclass(frozen=True)
class Removal:
    """A guard, the edit that removes it, and the test that should then fail.

    Parameters
    ----------
    guard : str
    module : str
        File that contains the guard, relative to the coordination layer.
    old, new : str
        Text that occurs exactly once in the file, and its replacement.
    check : str
        Path of the test.
    """

    guard: str
    module: str
    old: str
    new: str
    check: str


REMOVALS = (
    Removal(
        "limit: work starts inside the allotment",
        "limits/_allotment_account.py",
        " or self.startable_slots(resource) <= 0:",
        # Allows one slot too many. Without any bound, some tests would never end.
        " or not self._is_open or self.idle_slots(resource) < 0:",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: only idle slots are sent",
        "limits/_allotment_account.py",
        "not 0 < slots <= self.idle_slots(resource)",
        "slots <= 0",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: a doubled transfer adds once",
        "limits/_allotment_account.py",
        "max(0, slots - received[resource])",
        "slots",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: nothing is taken from a retired holder",
        "limits/_allotment_account.py",
        "if not self._is_open or peer in self._closed:",
        "if not self._is_open:",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: reclaiming waits for the last deadline",
        "limits/_allotment_reclaim.py",
        ">= quarantine_s(record)",
        ">= 0",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: no raise by an older configuration",
        "limits/_allotment_ledger.py",
        "if generation < ledger.generation:",
        "if False:",
        _ALLOTMENTS,
    ),
    Removal(
        "limit: only idle slots are sent (walk)",
        "limits/_allotment_account.py",
        "not 0 < slots <= self.idle_slots(resource)",
        "slots <= 0",
        _ALLOTMENT_REPLAY,
    ),
    Removal(
        "limit: nothing is taken from a retired holder (walk)",
        "limits/_allotment_account.py",
        "if not self._is_open or peer in self._closed:",
        "if not self._is_open:",
        _ALLOTMENT_REPLAY,
    ),
    Removal(
        "limit: no raise by an older configuration (walk)",
        "limits/_allotment_ledger.py",
        "if generation < ledger.generation:",
        "if False:",
        _ALLOTMENT_REPLAY,
    ),
    Removal(
        "notes: keyed work only under the lease",
        "membership/_configuration.py",
        "return self.lease.is_held(now_s)",
        "return True",
        _NOTES,
    ),
    Removal(
        "notes: generations never fall",
        "membership/_configuration.py",
        "if not self.is_behind(fleet.generation):",
        "if False:",
        _NOTES,
    ),
    Removal(
        "notes: generations never fall (test)",
        "membership/_configuration.py",
        "if not self.is_behind(fleet.generation):",
        "if False:",
        "tests/coordination/test_configuration.py",
    ),
    Removal(
        "notes: a renewal states the head",
        "membership/_membership.py",
        "                RowCheck(key=HEAD_KEY, expected_version=head_version),\n",
        "",
        _NOTES,
    ),
    Removal(
        "notes: a renewal states the head (walk)",
        "membership/_membership.py",
        "                RowCheck(key=HEAD_KEY, expected_version=head_version),\n",
        "",
        _NOTE_REPLAY,
    ),
    Removal(
        "notes: acceptance outwaits the lease",
        "membership/_head_observer.py",
        "return self.wait_s(row, now_s) <= 0",
        "return True",
        _NOTES,
    ),
    Removal(
        "notes: the lease counts from before sending",
        "membership/_config_lease.py",
        "self._expiry_s = max(self._expiry_s, end_s)",
        "self._expiry_s = max(self._expiry_s, end_s) + 60.0",
        _NOTES,
    ),
    Removal(
        "notes: a shorter lease binds when it is sent",
        "membership/_config_lease.py",
        "self._expiry_s = min(self._expiry_s, lease_expiry_s(now_s, lease_s))",
        "pass",
        _NOTES,
    ),
    Removal(
        "store: a lost answer is read back",
        "store/_store_access.py",
        "if row is not None and row.attempt == attempt:",
        "if False:",
        _STORE,
    ),
    Removal(
        "requests: a request that may have run is sent once",
        "requests/_attempts.py",
        "is_safe = self._is_idempotent or not self._may_have_run",
        "is_safe = True",
        _REQUESTS,
    ),
    Removal(
        "requests: 'not run' only where certain",
        "requests/_attempts.py",
        "if self._may_have_run:\n            return Uncertain",
        "if False:\n            return Uncertain",
        _REQUESTS,
    ),
    Removal(
        "requests: a withdrawn key stops who waits",
        "requests/_admission.py",
        "if key is None or key.team != request.team or key.team not in fleet.teams:",
        "if False:",
        _REQUESTS,
    ),
    Removal(
        "requests: a withdrawn key stops who waits (test)",
        "requests/_admission.py",
        "if key is None or key.team != request.team or key.team not in fleet.teams:",
        "if False:",
        "tests/coordination/test_dispatch.py",
    ),
    Removal(
        "duties: every write states the fence",
        "store/_duty_lease.py",
        "return (*items, check)",
        "return tuple(items)",
        _DUTIES,
    ),
    Removal(
        "fleet: every write states the fence",
        "store/_duty_lease.py",
        "return (*items, check)",
        "return tuple(items)",
        _FLEET,
    ),
    Removal(
        "fleet: a disruption needs room in the budget",
        "fleet/_vm_transitions.py",
        "if not allows_disruption(pool, records.budget, vm.vm_id, vm.rack):",
        "if False:",
        _FLEET,
    ),
    Removal(
        "fleet: a disruption is reserved",
        "fleet/_vm_transitions.py",
        "budget = reserve(records.budget, vm.vm_id, vm.rack)",
        "budget = records.budget",
        _FLEET,
    ),
    Removal(
        "fleet: a VM drains before it moves",
        "fleet/_reconcile_plan.py",
        "if not snapshot.entry_vms_holding(row):",
        "if True:",
        _FLEET,
    ),
    Removal(
        "jobs: order only under a valid lease",
        "jobs/_owner_lease.py",
        "return now_s - self._confirmed_s < self._tuning.owner_lease_ms / 1000",
        "return True",
        _JOBS,
    ),
    Removal(
        "jobs: no order once the lease may have been released",
        "jobs/_owner_lease.py",
        "self._is_given_up = True",
        "self._is_given_up = False",
        _RELEASE,
    ),
    Removal(
        "jobs: wait for ordered stops before the release",
        "jobs/_run.py",
        "return self.is_stopping",
        "return False",
        _RELEASE,
    ),
    Removal(
        "jobs: wait for the rest of a silent holder's lease",
        "jobs/_owner_lease.py",
        "active_s = max(earlier_active_s, lease_s - self._unchanged_s)",
        "active_s = earlier_active_s",
        _JOBS,
    ),
    Removal(
        "jobs: wait for holders before the last one",
        "jobs/_owner_lease.py",
        "earlier_active_s = row.earlier_acts_ms / 1000",
        "earlier_active_s = 0.0",
        _JOBS,
    ),
    Removal(
        "jobs: void one's own start first",
        "jobs/_reply_comparison.py",
        "return run.phase is RunPhase.IN_DOUBT and run.fence < order.fence",
        "return run.phase is RunPhase.IN_DOUBT",
        _JOBS,
    ),
    Removal(
        "jobs: wait out the worker's lease",
        "jobs/_worker_table.py",
        "if now_s > state.run_end_s(run, self._tuning)",
        "if now_s",
        _JOBS,
    ),
    Removal(
        "jobs: adopt what was placed",
        "jobs/_scheduler.py",
        "self._adopt(task, leases, now_s)",
        "self.jobs.requeue(task)",
        _JOBS,
    ),
    Removal(
        "jobs: store what ended before it is acknowledged",
        "jobs/_worker_state.py",
        "self.seen_upto = EndNumber(first_unstored - 1)",
        "self.seen_upto = self.processed_upto",
        _JOBS,
    ),
    Removal(
        "jobs: find a place before planned work stops a task",
        "jobs/_evacuation_plan.py",
        "not run.step.is_long_running or vm.emptied_s is not None",
        "True",
        _EVACUATION,
    ),
    Removal(
        "jobs: planned work waits until a held worker has room",
        "jobs/_evacuation_plan.py",
        "return may_wait or run.task in self._room.ready",
        "return True",
        _EVACUATION,
    ),
    Removal(
        "jobs: a VM that was just cordoned is not emptied",
        "jobs/_evacuation_plan.py",
        "if vm.record.vm not in self._forecast_vms:",
        "if False:",
        _EVACUATION,
    ),
    Removal(
        "jobs: a forecast place is not taken by long work",
        "jobs/_placement_forecast.py",
        "slot.free = slot.free.minus(run.reserved_resources)",
        "pass",
        _EVACUATION,
    ),
    Removal(
        "jobs: count a task as away that an earlier scheduler may have stopped",
        "jobs/_run.py",
        "            and is_settled\n",
        "",
        _JOBS,
    ),
    Removal(
        "jobs: hand a lease over that can't be renewed for long",
        "jobs/_owner_lease.py",
        "if is_answering and self.is_valid(now_s)",
        "if is_answering",
        _JOBS,
    ),
    Removal(
        "jobs: leave VMs alone that were ordered lately",
        "jobs/_vm_order_cooldown.py",
        "each.age_s(now_s) >= self._cooldown_s",
        "True",
        _JOBS,
    ),
    Removal(
        "jobs: time without a reading is no silence",
        "jobs/_owner_lease.py",
        "self._seen_s = None\n\n    def takeover",
        "pass\n\n    def takeover",
        _JOBS,
    ),
    Removal(
        "jobs: keep what a later incarnation may run for the longest lease",
        "jobs/_worker_state.py",
        "RunEnds(self.lease.listed_end_s(), self.lease.latest_end_s(tuning))",
        "RunEnds(self.lease.listed_end_s(), self.lease.listed_end_s())",
        _JOBS,
    ),
    Removal(
        "jobs: silence of a worker is no crash",
        "jobs/_task_record.py",
        "[each for each in self.crashes.values() if each.is_crash]",
        "list(self.crashes.values())",
        _JOBS,
    ),
    Removal(
        "jobs: count earlier maintenance until it is settled",
        "jobs/_maintenance_plan.py",
        "or (vm is not ordered and self._may_go_down(vm, now_s))",
        "",
        _JOBS,
    ),
    Removal(
        "jobs: a held worker takes no other tasks",
        "jobs/_task_placer.py",
        "each.entry.worker not in held",
        "True",
        _ROOM,
    ),
    Removal(
        "jobs: hold the workers that will have room first",
        "jobs/_room_holds.py",
        "nsmallest(missing, rooms, key=itemgetter(0))",
        "rooms[:missing]",
        _ROOM,
    ),
    Removal(
        "jobs: hold a worker for each waiting task",
        "jobs/_room_holds.py",
        "missing = count - len(request.holds)",
        "missing = 1 - len(request.holds)",
        _ROOM,
    ),
    Removal(
        "jobs: stop runs for a task that will have no room in time",
        "jobs/_room_holds.py",
        "if request.is_preempting(now_s):",
        "if False:",
        _ROOM,
    ),
    Removal(
        "jobs: a guest of a held worker leaves the room that is there now",
        "jobs/_room_holds.py",
        "if holder.obstacle(worker) is not None:",
        "if True:",
        _HOLDS,
    ),
    Removal(
        "jobs: a lease may be granted as late as a relay's permit allows",
        "jobs/_worker_lease.py",
        "now_s + max_delay_s",
        "now_s",
        _RELAYS,
    ),
    Removal(
        "jobs: relays may send orders of earlier schedulers",
        "jobs/_inherited_leases.py",
        "+ RELAY_PERMIT_S\n        + PROMPT_ORDER_DELAY_MS",
        "+ PROMPT_ORDER_DELAY_MS",
        "tests/jobs/test_worker_restarts.py",
    ),
    Removal(
        "jobs: gangs and long-running tasks don't depend on a relay",
        "jobs/_start_relays.py",
        "if run.step.is_gang or run.step.is_long_running:",
        "if False:",
        _RELAYS,
    ),
    Removal(
        "jobs: a relay that has failed isn't used for a while",
        "jobs/_start_relays.py",
        "if now_s >= self._relay(peer).paused_until_s:",
        "if True:",
        _RELAYS,
    ),
)


def read_module(removal: Removal, root: Path = ROOT) -> str:
    """Return the text of the module that contains the guard."""
    return (root / _CODE / removal.module).read_text(encoding="utf-8")


def is_caught(removal: Removal) -> bool:
    """Return whether the test fails on a copy of the code without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in _COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        (copy / "conftest.py").write_text(_CONFTEST, encoding="utf-8")
        path = copy / _CODE / removal.module
        text = read_module(removal, copy)
        if text.count(removal.old) != 1:
            raise click.ClickException(
                f"{removal.guard}: expected its text exactly once in {removal.module}, "
                f"found it {text.count(removal.old)} times"
            )
        path.write_text(text.replace(removal.old, removal.new), encoding="utf-8")
        return _run_check(copy, removal.check) != 0


def _run_check(folder: Path, check: str) -> int:
    command = (sys.executable, "-m", "pytest", "-x", "-q", check)
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    completed = subprocess.run(
        command,
        cwd=folder,
        env=environment,
        capture_output=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    # Status 1 means that tests failed, any other status that they did not run.
    if completed.returncode not in (0, 1):
        raise click.ClickException(f"{check}: {completed.stdout.decode()[-500:]}")
    return completed.returncode


@click.command()
@click.option("--only", default="", help="Only guards whose name has this text.")
def main(only: str) -> None:
    """Print a table that shows for each guard whether its test detects its removal."""
    is_each_caught = True
    click.echo("| guard | check | without it |")
    click.echo("|---|---|---|")
    for removal in REMOVALS:
        if only not in removal.guard or not (ROOT / removal.check).exists():
            continue
        caught = is_caught(removal)
        is_each_caught = is_each_caught and caught
        result = "fails" if caught else "PASSES"
        click.echo(f"| {removal.guard} | `{removal.check}` | {result} |")
    sys.exit(0 if is_each_caught else 1)


if __name__ == "__main__":
    main()
