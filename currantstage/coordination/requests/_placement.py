"""Placement policies, which choose the worker that runs a request."""

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
    """A worker with capacity for the request.

    Parameters
    ----------
    vm : Vm
    free_slots : int
        At least one.
    is_suspect : bool
        Whether the health of the worker is in doubt after a failed connection.
    """

    vm: Vm
    free_slots: int
    is_suspect: bool = False

    @property
    def free_fraction(self) -> float:
        """Return the fraction of the worker's slots that are free."""
        return self.free_slots / self.vm.slots


class PlacementPolicy(Protocol):
    """Chooses a worker for a request."""

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the chosen worker; `candidates` is not empty."""


class LeastLoaded:
    """Chooses the worker with the largest fraction of free slots.

    Ties are broken by the number of free slots in the worker's rack, then at random:
    entry VMs that see the same load would otherwise all choose the same worker.

    Parameters
    ----------
    random : Random
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the chosen worker."""
        del request
        healthy = [
            candidate for candidate in candidates if not candidate.is_suspect
        ] or candidates
        most = max(candidate.free_fraction for candidate in healthy)
        best = [candidate for candidate in healthy if candidate.free_fraction == most]
        if len(best) == 1:
            return best[0].vm
        free_of_rack: dict[RackId, int] = {}
        for candidate in healthy:
            rack = candidate.vm.rack
            free_of_rack[rack] = free_of_rack.get(rack, 0) + candidate.free_slots
        most_free = max(free_of_rack[candidate.vm.rack] for candidate in best)
        best = [
            candidate
            for candidate in best
            if free_of_rack[candidate.vm.rack] == most_free
        ]
        return best[int(self._random.random() * len(best))].vm


class PowerOfTwoChoices:
    """Chooses the less loaded of two random workers.

    Parameters
    ----------
    random : Random
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the chosen worker."""
        del request
        first = candidates[int(self._random.random() * len(candidates))]
        second = candidates[int(self._random.random() * len(candidates))]
        pair = sorted(
            (first, second),
            key=lambda candidate: (candidate.is_suspect, -candidate.free_fraction),
        )
        return pair[0].vm


class AttributedConsistentHashing:
    """Attributed consistent hashing (Zhou, Chen, Wang; PACT 2018).

    Each worker has one position per slot on a hash ring. A request hashes to a sector
    of consecutive positions, and a worker of the sector is chosen with a probability
    proportional to its processors (the "bandwidth strategy" of the paper).

    Parameters
    ----------
    sector_positions : int
        Number of positions in a sector.
    """

    def __init__(self, sector_positions: int = 16) -> None:
        self._sector_positions = sector_positions
        self._ring: list[tuple[int, VmId]] = []
        self._members: frozenset[tuple[VmId, int]] = frozenset()

    def choose(self, request: RequestId, candidates: Sequence[Candidate]) -> Vm:
        """Return the chosen worker."""
        by_id = {candidate.vm.vm_id: candidate.vm for candidate in candidates}
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
