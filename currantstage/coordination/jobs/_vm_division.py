"""Division of the VMs among the pools when they want more than there are."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.coordination.jobs._pool_sizing import WantedVms
    from currantstage.state import PoolId


class VmDivision(Protocol):
    """Decides how many VMs each pool is to have of those there are."""

    def divide(
        self, wanted: Mapping[PoolId, WantedVms], total_vms: int
    ) -> dict[PoolId, int]:
        """Return the number of VMs of each pool, at most `total_vms` together."""


class MaxMinDivision:
    """Serves the most useful work of all pools first, and within it each pool alike.

    VMs go to long-running tasks first, then to jobs that can meet their objective, then
    to all others. What is short is divided max-min fair: the pools get equal numbers,
    but none more than it wants, so that no pool is starved by the demand on another.
    """

    def divide(
        self, wanted: Mapping[PoolId, WantedVms], total_vms: int
    ) -> dict[PoolId, int]:
        """Return the number of VMs of each pool, at most `total_vms` together."""
        shares = dict.fromkeys(wanted, 0)
        counts: tuple[Callable[[WantedVms], int], ...] = (
            attrgetter("required"),
            attrgetter("in_time"),
            attrgetter("all"),
        )
        for count in counts:
            lacking = {
                pool: max(0, count(each) - shares[pool])
                for pool, each in wanted.items()
            }
            added = divide_evenly(lacking, total_vms - sum(shares.values()))
            for pool, vms in added.items():
                shares[pool] += vms
        return shares


def divide_evenly(wanted: Mapping[PoolId, int], total_vms: int) -> dict[PoolId, int]:
    """Return max-min fair shares of `total_vms`; whole, and none larger than wanted.

    >>> divide_evenly({"a": 2, "b": 10, "c": 9}, 12)
    {'a': 2, 'b': 5, 'c': 5}
    """
    shares = dict.fromkeys(wanted, 0)
    left = max(0, total_vms)
    for number, pool in enumerate(sorted(wanted, key=lambda each: wanted[each])):
        shares[pool] = min(wanted[pool], left // (len(wanted) - number))
        left -= shares[pool]
    return shares
