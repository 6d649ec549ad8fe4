"""Selection of the VMs to maintain next, so that waves meet their deadlines."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._vm_table import VmGoal, VmWork
from currantstage.state import VmId
from currantstage.state.jobs import VmCondition

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_order_cooldown import VmOrderCooldown
    from currantstage.coordination.jobs._vm_table import VmState, VmTable
    from currantstage.state.jobs import MaintenanceWave

#: Number of VMs drained in advance, beyond those that may be down.
DRAINED_AHEAD = 1
#: Maximum time that a draining VM waits for its tasks to end, in seconds.
MAX_DRAIN_TIMEOUT_S = 3.0
#: Part of a wave's time that is reserved for repeated orders, in seconds.
RETRY_RESERVE_S = 2.0


@dataclass(slots=True, eq=False)
class WaveState:
    """A maintenance wave and its progress.

    Parameters
    ----------
    wave : MaintenanceWave
    known_since_s : float
        When the scheduler learned of it.
    done : set of VmId
        VMs whose maintenance order has been confirmed, or refused for good.
    recorded : set of VmId
        Those of them that are stored as such, for later schedulers.
    is_recording : bool
        A write that stores more of them is under way.
    is_announced, is_completed : bool
        Whether its start and its completion have been reported to operators.
    """

    wave: MaintenanceWave
    known_since_s: float
    done: set[VmId] = field(default_factory=set)
    recorded: set[VmId] = field(default_factory=set)
    is_recording: bool = False
    is_announced: bool = False
    is_completed: bool = False

    @property
    def deadline_s(self) -> float:
        """Deadline of the wave."""
        return self.known_since_s + self.wave.complete_by_s

    @property
    def unrecorded(self) -> set[VmId]:
        """VMs that are done and not known to be stored as such."""
        return self.done - self.recorded


class MaintenancePlan:
    """Sets maintenance goals: as many as may be down, plus `DRAINED_AHEAD`."""

    def __init__(
        self, vms: VmTable, cooldown: VmOrderCooldown, tuning: SchedulerTuning
    ) -> None:
        self._vms = vms
        self._cooldown = cooldown
        self._tuning = tuning
        self.waves: dict[int, WaveState] = {}

    def announce(
        self, wave: MaintenanceWave, done: Iterable[str], now_s: float
    ) -> WaveState:
        """Record a wave and those of its VMs that are already maintained."""
        state = self.waves.get(wave.number)
        if state is None:
            maintained = set(map(VmId, done))
            state = WaveState(wave, now_s, maintained, set(maintained))
            self.waves[wave.number] = state
        return state

    def open_waves(self) -> list[WaveState]:
        """Return the waves that are not completed, earliest deadline first."""
        waves = [each for each in self.waves.values() if not each.is_completed]
        return sorted(waves, key=lambda each: each.deadline_s)

    def remaining(self, state: WaveState) -> list[VmState]:
        """Return the VMs of a wave that still have to be maintained."""
        found = (
            self._vms.get(VmId(vm)) for vm in state.wave.vms if vm not in state.done
        )
        return [vm for vm in found if vm is not None]

    def choose(
        self,
        load: Callable[[VmState], float],
        may_maintain: Callable[[VmState], bool],
        now_s: float,
    ) -> None:
        """Set goals.

        Parameters
        ----------
        load : callable
            Returns the amount of work to drain from a VM.
        may_maintain : callable
            Returns whether a VM can be emptied now, and reserves what that takes.
        """
        for state in self.open_waves():
            remaining = self.remaining(state)
            taken = [
                vm
                for vm in self._vms.states()
                if vm.goal is not None and vm.goal.wave == state.wave.number
            ]
            free = state.wave.max_down + DRAINED_AHEAD - len(taken)
            idle = [vm for vm in remaining if vm.goal is None and vm.is_up]
            for vm in sorted(idle, key=partial(self._rank, load=load, now_s=now_s)):
                if free <= 0:
                    break
                if may_maintain(vm):
                    goal = VmGoal(VmWork.MAINTENANCE, wave=state.wave.number)
                    self._vms.set_goal(vm, goal, now_s)
                    free -= 1

    def _rank(
        self, vm: VmState, load: Callable[[VmState], float], now_s: float
    ) -> tuple[bool, float]:
        """Rank a VM for maintenance: first those that others have to wait for."""
        return not self._may_go_down(vm, now_s), load(vm)

    def may_order(self, vm: VmState, now_s: float) -> bool:
        """Return whether all waves that include a VM allow it to go down."""
        return all(
            self._down_count(state, vm, now_s) < state.wave.max_down
            for state in self.waves.values()
            if vm.record.vm in state.wave.vms
        )

    def _down_count(self, state: WaveState, ordered: VmState, now_s: float) -> int:
        """Count the VMs of a wave that may be down, also by orders of earlier terms.

        The order that is about to be sent settles that of an earlier term for its VM.
        """
        members = (self._vms.get(VmId(vm)) for vm in state.wave.vms)
        return sum(
            _is_down(vm)
            or not self._cooldown.may_order(vm.record.vm, now_s)
            or (vm is not ordered and self._may_go_down(vm, now_s))
            for vm in members
            if vm is not None
        )

    def _may_go_down(self, vm: VmState, now_s: float) -> bool:
        """Return whether an order of an earlier term may still take a VM down."""
        ordered = self._cooldown.inherited_upkeeps(vm.record.vm, now_s)
        return not all(self._is_done(vm, wave) for wave in ordered)

    def _is_done(self, vm: VmState, wave: int | None) -> bool:
        """Return whether a VM is known to have been maintained in a wave."""
        state = None if wave is None else self.waves.get(wave)
        return state is not None and vm.record.vm in state.done

    def drain_timeout_s(self, state: WaveState, now_s: float) -> float:
        """Return how long a draining VM may wait for its tasks to end."""
        rounds = -(-len(self.remaining(state)) // max(1, state.wave.max_down))
        if not rounds:
            return MAX_DRAIN_TIMEOUT_S
        each_s = (state.deadline_s - RETRY_RESERVE_S - now_s) / rounds
        return min(
            MAX_DRAIN_TIMEOUT_S, max(0.0, each_s - self._tuning.upkeep_ms / 1000)
        )


def _is_down(vm: VmState) -> bool:
    """Return whether a VM is, or may be, down for maintenance in any wave."""
    is_ordered = vm.goal is not None and vm.goal.work is VmWork.MAINTENANCE
    is_listed_down = vm.record.condition is VmCondition.MAINTENANCE
    return is_listed_down or (is_ordered and vm.is_order_outstanding)
