"""Ports for reading what operators and workers write to the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from currantstage.state.jobs._fleet import FleetConfiguration, MaintenanceWave
    from currantstage.state.jobs._ids import WorkerId
    from currantstage.state.jobs._workers import WorkerEntry


@dataclass(frozen=True, slots=True)
class OperatorChanges:
    """Changes that operators have written.

    Parameters
    ----------
    configuration : FleetConfiguration, optional
        None if it has not changed.
    raw_configuration : bytes
        The encoded configuration, for peers that cannot read the store.
    waves : tuple of MaintenanceWave
        New maintenance waves.
    version : int
        Version of the store that was read.
    is_malformed : bool
        Whether the configuration has changed, but can't be decoded.
    """

    configuration: FleetConfiguration | None
    raw_configuration: bytes
    waves: tuple[MaintenanceWave, ...]
    version: int
    is_malformed: bool = False


@dataclass(frozen=True, slots=True)
class WorkerChanges:
    """Entries that workers have written, and workers whose entries were deleted."""

    entries: tuple[WorkerEntry, ...]
    removed: tuple[WorkerId, ...]
    version: int


class OperatorSource(Protocol):
    """Reads operator changes; methods raise `StoreUnavailable`."""

    async def read(self) -> OperatorChanges:
        """Return the complete current state."""

    async def changes(self, after: int, wait_ms: int) -> OperatorChanges | None:
        """Return the changes since `after`, or None if no longer kept."""

    def decode(self, raw_configuration: bytes) -> FleetConfiguration | None:
        """Return the configuration received from a peer, or None if malformed."""

    async def write_wave_state(self, wave: int, *, is_completed: bool) -> None:
        """Report the state of a wave to operators; a completed one stays so."""


class WorkerSource(Protocol):
    """Reads worker entries; methods raise `StoreUnavailable`."""

    async def read(self) -> WorkerChanges:
        """Return all entries."""

    async def changes(self, after: int, wait_ms: int) -> WorkerChanges | None:
        """Return the changes since `after`, or None if no longer kept."""
