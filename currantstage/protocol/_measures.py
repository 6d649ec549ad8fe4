"""Messages of the report on buffer, moves, roll-out and shares."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.limits import QueueLoad, ShareDistance
from currantstage.protocol._fleet_status import DataCentreStatus, WaveStatus
from currantstage.protocol._service_levels import SilentMember
from currantstage.state import EntryVmId, Generation


class LoadReport(Struct, frozen=True, kw_only=True):
    """What the teams run and wait for at one entry VM."""

    entry_vm: EntryVmId
    loads: tuple[QueueLoad, ...]


class MeasuresReport(Struct, frozen=True, kw_only=True):
    """What the users measure, at this moment.

    Parameters
    ----------
    generation : Generation
    answered : tuple of EntryVmId
        Entry VMs whose loads are part of the shares.
    silent : tuple of SilentMember
    data_centres : tuple of DataCentreStatus
        Buffer and moves.
    waves : tuple of WaveStatus
        How far each roll-out has come.
    shares : tuple of ShareDistance
        Teams on queues where somebody waits.
    """

    generation: Generation
    answered: tuple[EntryVmId, ...]
    silent: tuple[SilentMember, ...]
    data_centres: tuple[DataCentreStatus, ...]
    waves: tuple[WaveStatus, ...]
    shares: tuple[ShareDistance, ...]
