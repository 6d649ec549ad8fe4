"""Which worker runs a request: three interchangeable policies."""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state import RackId, Random, RequestId, Vm, VmId


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker with room for the request.

    Parameters
    ----------
    vm : Vm
    free_slots : int
        At least one.
    is_suspect : bool
        Whether a connection to it lately went silent.
    """

    vm: Vm
    free_slots: int
    is_suspect: bool = False

    @property
    def free_fraction(self) -> float:
        """Return the free part of the worker's slots."""
        return self.free_slots / self.vm.slots


class PlacementPolicy(Protocol):
    """Chooses a worker for a request."""

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the worker to use; `candidates` is not empty."""


class LeastLoaded:
    """Takes the worker with the largest free part, in the least loaded rack on a tie.

    Entry VMs that see the same load would all choose the same worker, so the rest of
    the ties are broken at random.

    Parameters
    ----------
    random : Random
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the worker to use."""
        del request
        healthy = [each for each in candidates if not each.is_suspect] or candidates
        most = max(each.free_fraction for each in healthy)
        best = [each for each in healthy if each.free_fraction == most]
        if len(best) == 1:
            return best[0].vm
        free_of_rack: dict[RackId, int] = {}
        for each in healthy:
            rack = each.vm.rack
            free_of_rack[rack] = free_of_rack.get(rack, 0) + each.free_slots
        most_free = max(free_of_rack[each.vm.rack] for each in best)
        best = [each for each in best if free_of_rack[each.vm.rack] == most_free]
        return best[int(self._random.random() * len(best))].vm


class PowerOfTwoChoices:
    """Takes the less loaded of two random workers.

    Parameters
    ----------
    random : Random
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the worker to use."""
        del request
        first = candidates[int(self._random.random() * len(candidates))]
        second = candidates[int(self._random.random() * len(candidates))]
        pair = sorted(
            (first, second), key=lambda each: (each.is_suspect, -each.free_fraction)
        )
        return pair[0].vm


class AttributedConsistentHashing:
    """Attributed consistent hashing (Zhou, Chen, Wang; PACT 2018).

    Workers stand on a hash ring with one position per slot. A request hashes to a
    sector of consecutive positions, and a worker is drawn from the sector in
    proportion to its processors, their "bandwidth strategy".

    Parameters
    ----------
    sector_positions : int
    """

    def __init__(self, sector_positions: int = 16) -> None:
        self._sector_positions = sector_positions
        self._ring: list[tuple[int, VmId]] = []
        self._members: frozenset[tuple[VmId, int]] = frozenset()

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the worker to use."""
        by_id = {each.vm.vm_id: each.vm for each in candidates}
        members = frozenset((vm.vm_id, vm.slots) for vm in by_id.values())
        if members != self._members:
            self._members = members
            self._ring = sorted(
                (_hash(f"{vm_id}/{position}"), vm_id)
                for vm_id, slots in members
                for position in range(slots)
            )
        point = _hash(request)
        start = bisect_right(self._ring, (point, ""))
        sector = {
            self._ring[(start + step) % len(self._ring)][1]: None
            for step in range(min(self._sector_positions, len(self._ring)))
        }
        remainder = _hash(f"{request}/range") / 2**64
        remainder *= sum(by_id[vm_id].processors for vm_id in sector)
        for vm_id in sector:
            remainder -= by_id[vm_id].processors
            if remainder < 0:
                break
        return by_id[vm_id]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
