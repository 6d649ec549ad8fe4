"""Estimate how long and how often a pool has work for one more VM."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.state import PoolId

#: Load, as a fraction of a VM's slots, above which the VM becomes wanted, and below
#: which it stops being wanted.
WANTED_THRESHOLD = 0.75
UNWANTED_THRESHOLD = 0.25
#: Weight of the latest period in the moving average of period lengths.
PERIOD_WEIGHT = 0.25
#: Time constant of the average fraction of time a VM is wanted, in seconds.
WANTED_TIME_CONSTANT_S = 3600.0


@dataclass(frozen=True, slots=True)
class VmDemand:
    """Demand for the n-th VM of a pool.

    Parameters
    ----------
    is_wanted : bool
    remaining_s : float
        Expected time until `is_wanted` changes, in seconds.
    wanted_fraction : float
        Long-run fraction of time for which it is wanted.
    """

    is_wanted: bool
    remaining_s: float
    wanted_fraction: float


#: Fraction of the weighted time that must be observed before `wanted_fraction` counts
#: in full.
MIN_OBSERVED = 0.1
#: Demand for a VM of a pool whose demand was never reported.
NO_DEMAND = VmDemand(is_wanted=False, remaining_s=0.0, wanted_fraction=0.0)


class _DemandTracker:
    """Tracks the periods in which the n-th VM of a pool is wanted or not."""

    __slots__ = (
        "_observed",
        "_wanted",
        "is_wanted",
        "mean_period_s",
        "since_s",
        "updated_s",
    )

    def __init__(self, now_s: float) -> None:
        self.is_wanted = False
        self.since_s = now_s
        self.updated_s = now_s
        # Exponentially weighted wanted and total time, as fractions of their limit.
        self._wanted = 0.0
        self._observed = 0.0
        #: Mean length of the periods, by whether the VM was wanted.
        self.mean_period_s: dict[bool, float] = {}

    def update(self, now_s: float, load: float) -> None:
        """Record the present load on the VM, as a fraction of its slots."""
        decay = math.exp((self.updated_s - now_s) / WANTED_TIME_CONSTANT_S)
        self._wanted = decay * self._wanted + (1.0 - decay) * self.is_wanted
        self._observed = decay * self._observed + (1.0 - decay)
        self.updated_s = now_s
        threshold = UNWANTED_THRESHOLD if self.is_wanted else WANTED_THRESHOLD
        is_wanted = load > threshold
        if is_wanted is not self.is_wanted:
            self._end_period(now_s)
            self.is_wanted = is_wanted

    def vm_demand(self, now_s: float) -> VmDemand:
        """Return the demand expected from now on."""
        # A period that exceeds the mean is expected to last as long again.
        age_s = now_s - self.since_s
        remaining_s = max(age_s, self.mean_period_s.get(self.is_wanted, 0.0))
        wanted_fraction = self._wanted / max(self._observed, MIN_OBSERVED)
        return VmDemand(self.is_wanted, remaining_s, wanted_fraction)

    def _end_period(self, now_s: float) -> None:
        length_s = now_s - self.since_s
        mean_s = self.mean_period_s.get(self.is_wanted, length_s)
        mean_s += PERIOD_WEIGHT * (length_s - mean_s)
        self.mean_period_s[self.is_wanted] = mean_s
        self.since_s = now_s


class DemandEstimator:
    """Estimates each pool's demand, separately for its first, second and n-th VM.

    Demand comes in bursts: a queue needs more than its pool holds for a while, then
    next to nothing. Whether a move pays off depends on how long these periods last,
    so the estimator tracks their lengths. Hysteresis keeps demand that fluctuates
    around a threshold from ending a period.
    """

    def __init__(self) -> None:
        self._trackers: dict[PoolId, list[_DemandTracker]] = {}
        self._now_s = 0.0

    def observe(
        self, now_s: float, demand_vms: Mapping[PoolId, float], max_vms: int
    ) -> None:
        """Record the demand of each pool.

        Parameters
        ----------
        now_s : float
            Time, in seconds; a time before the previous one counts as no time passed.
        demand_vms : mapping of PoolId to float
            Running and waiting work, in VMs that it would occupy.
        max_vms : int
            Maximum number of VMs that a pool could hold.
        """
        now_s = self._now_s = max(now_s, self._now_s)
        for pool in self._trackers.keys() - demand_vms.keys():
            del self._trackers[pool]
        for pool, demand in demand_vms.items():
            trackers = self._trackers.setdefault(pool, [])
            trackers.extend(
                _DemandTracker(now_s) for _ in range(max_vms - len(trackers))
            )
            for index, tracker in enumerate(trackers):
                tracker.update(now_s, demand - index)

    def vm_demand(self, pool: PoolId, count: int) -> VmDemand:
        """Return the demand for the `count`-th VM of `pool`, counted from one."""
        trackers = self._trackers.get(pool, [])
        if not 1 <= count <= len(trackers):
            return NO_DEMAND
        return trackers[count - 1].vm_demand(self._now_s)
