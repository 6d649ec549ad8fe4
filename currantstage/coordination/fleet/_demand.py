"""Estimate for how long, and how often, a pool has work for one more VM."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.state import PoolId

#: Part of a VM's slots above which the VM is wanted, and below which it no longer is.
WANTED_ABOVE = 0.75
UNWANTED_BELOW = 0.25
#: Weight of the newest spell in the mean length of spells.
SPELL_WEIGHT = 0.25
#: Time constant of the share of time for which a VM is wanted, in seconds.
SHARE_TIME_S = 3600.0


@dataclass(frozen=True, slots=True)
class VmNeed:
    """Whether the n-th VM of a pool has work.

    Parameters
    ----------
    is_wanted : bool
    remaining_s : float
        Expected time until that changes, in seconds.
    wanted_share : float
        Share of time for which it is wanted in the long run.
    """

    is_wanted: bool
    remaining_s: float
    wanted_share: float


#: Part of the weighted time that must be observed before a share counts in full.
MIN_OBSERVED = 0.1
#: Need for a VM of a pool whose demand was never reported.
NO_NEED = VmNeed(is_wanted=False, remaining_s=0.0, wanted_share=0.0)


class _VmLevel:
    """The spells for which the n-th VM of a pool is wanted, and those between."""

    __slots__ = (
        "_observed",
        "_wanted",
        "is_wanted",
        "mean_spell_s",
        "since_s",
        "updated_s",
    )

    def __init__(self, now_s: float) -> None:
        self.is_wanted = False
        self.since_s = now_s
        self.updated_s = now_s
        # Exponentially weighted time, wanted and in all, as a part of its limit.
        self._wanted = 0.0
        self._observed = 0.0
        #: Mean length of the spells, by whether the VM was wanted.
        self.mean_spell_s: dict[bool, float] = {}

    def update(self, now_s: float, used_part: float) -> None:
        """Take that work for `used_part` of the VM is there now."""
        decay = math.exp((self.updated_s - now_s) / SHARE_TIME_S)
        self._wanted = decay * self._wanted + (1.0 - decay) * self.is_wanted
        self._observed = decay * self._observed + (1.0 - decay)
        self.updated_s = now_s
        threshold = UNWANTED_BELOW if self.is_wanted else WANTED_ABOVE
        is_wanted = used_part > threshold
        if is_wanted is not self.is_wanted:
            self._end_spell(now_s)
            self.is_wanted = is_wanted

    def need(self, now_s: float) -> VmNeed:
        """Return what is expected from now on."""
        # A spell that outlasts the mean is expected to last as long again.
        age_s = now_s - self.since_s
        remaining_s = max(age_s, self.mean_spell_s.get(self.is_wanted, 0.0))
        wanted_share = self._wanted / max(self._observed, MIN_OBSERVED)
        return VmNeed(self.is_wanted, remaining_s, wanted_share)

    def _end_spell(self, now_s: float) -> None:
        length_s = now_s - self.since_s
        mean_s = self.mean_spell_s.get(self.is_wanted, length_s)
        mean_s += SPELL_WEIGHT * (length_s - mean_s)
        self.mean_spell_s[self.is_wanted] = mean_s
        self.since_s = now_s


class DemandEstimator:
    """Learns each pool's demand in VMs, one VM at a time.

    Queues take turns: for a while one asks for more than its pool holds, then for
    next to nothing. Whether a move pays depends on how long such spells last, so their
    lengths are what is learnt, with hysteresis against demand that hovers.
    """

    def __init__(self) -> None:
        self._levels: dict[PoolId, list[_VmLevel]] = {}
        self._now_s = 0.0

    def observe(
        self, now_s: float, demand_vms: Mapping[PoolId, float], max_vms: int
    ) -> None:
        """Take the demand of each pool.

        Parameters
        ----------
        now_s : float
            Time, in seconds; one that has gone backwards counts as no time.
        demand_vms : mapping of PoolId to float
            Running and waiting work, in VMs that it would fill.
        max_vms : int
            VMs that a pool could hold at most.
        """
        now_s = self._now_s = max(now_s, self._now_s)
        for pool in self._levels.keys() - demand_vms.keys():
            del self._levels[pool]
        for pool, demand in demand_vms.items():
            levels = self._levels.setdefault(pool, [])
            levels.extend(_VmLevel(now_s) for _ in range(max_vms - len(levels)))
            for index, level in enumerate(levels):
                level.update(now_s, demand - index)

    def need(self, pool: PoolId, count: int) -> VmNeed:
        """Return the need for the `count`-th VM of `pool`, counted from one."""
        levels = self._levels.get(pool, [])
        if not 1 <= count <= len(levels):
            return NO_NEED
        return levels[count - 1].need(self._now_s)
