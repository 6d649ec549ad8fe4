"""Limits of a single entry VM, for tests of code that uses limits."""

from __future__ import annotations

from collections import Counter

from currantstage.coordination.membership import Configuration
from currantstage.state import TeamId, VmId


class LocalTeamLimiter:
    """Implements `TeamLimiter` for a fleet with one entry VM."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._running: Counter[TeamId] = Counter()

    def try_acquire(self, team: TeamId) -> bool:
        """Acquire one slot of the team's upper limit; return False if none is left."""
        record = self._configuration.fleet.teams.get(team)
        if record is None or self._running[team] >= record.upper_limit_slots:
            return False
        self._running[team] += 1
        return True

    def release(self, team: TeamId) -> None:
        """Release one slot."""
        self._running[team] -= 1


class LocalWorkerSlots:
    """Implements `WorkerSlots` for a data centre with one entry VM."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._running: Counter[VmId] = Counter()

    def free_slots(self, vm: VmId) -> int:
        """Return the slots of `vm` that this entry VM can still acquire."""
        record = self._configuration.fleet.vms.get(vm)
        return 0 if record is None else record.slots - self._running[vm]

    def try_acquire(self, vm: VmId) -> bool:
        """Acquire one slot of `vm`; return False if none is left."""
        if self.free_slots(vm) <= 0:
            return False
        self._running[vm] += 1
        return True

    def release(self, vm: VmId) -> None:
        """Release one slot."""
        self._running[vm] -= 1
