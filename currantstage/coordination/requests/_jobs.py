"""Submissions, declared job sizes and worker capacities."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.state import QueueId, Vm


class JobSize(Struct, frozen=True, kw_only=True):
    """Processors, memory and accelerators that a job needs or a worker has.

    Parameters
    ----------
    processors : float
        Number of cores.
    memory_mb : int
    accelerators : int
    """

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, capacity: JobSize) -> bool:
        """Return whether a job of this size fits on a worker of `capacity`.

        >>> JobSize(processors=4).fits(JobSize(processors=16))
        True
        """
        return (
            self.processors <= capacity.processors
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


#: Size of a job that declares none.
NO_SIZE = JobSize()


@dataclass(frozen=True, slots=True)
class Submission:
    """A request to be admitted, as the caller submitted it.

    Parameters
    ----------
    queue : QueueId
    presented_key : str or None
    is_urgent : bool
        Whether it takes precedence over other requests of its team.
    is_idempotent : bool
        Whether the caller allows it to run more than once.
    timeout_s : float or None
        The caller's timeout, in seconds; the queue's timeout applies as well.
    size : JobSize
    """

    queue: QueueId
    presented_key: str | None = None
    is_urgent: bool = False
    is_idempotent: bool = False
    timeout_s: float | None = None
    size: JobSize = NO_SIZE


def capacity_of(vm: Vm) -> JobSize:
    """Return the capacity of a worker."""
    return JobSize(
        processors=vm.processors, memory_mb=vm.memory_mb, accelerators=vm.accelerators
    )


def largest_capacity(vms: Iterable[Vm]) -> JobSize:
    """Return the largest capacity, by accelerators, then memory, then processors.

    Accelerators are compared first because the fewest workers have them.
    """
    return max(
        (capacity_of(vm) for vm in vms),
        key=lambda size: (size.accelerators, size.memory_mb, size.processors),
        default=JobSize(),
    )
