"""Messages of the report on spare VMs, moves, waves and shares."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.limits import QueueLoad, ShareDistance
from currantstage.protocol._fleet_status import DataCentreStatus, WaveStatus
from currantstage.protocol._service_levels import MissingMember
from currantstage.state import EntryVmId, Generation


class LoadReport(Struct, frozen=True, kw_only=True):
    """Running and waiting requests of the teams at one entry VM."""

    entry_vm: EntryVmId
    loads: tuple[QueueLoad, ...]


class MeasuresReport(Struct, frozen=True, kw_only=True):
    """Measures of the fleet at one moment.

    Parameters
    ----------
    generation : Generation
    answered : tuple of EntryVmId
        Entry VMs whose loads are included in the shares.
    silent : tuple of MissingMember
        Entry VMs whose loads are missing.
    data_centres : tuple of DataCentreStatus
        Spare VMs and moves.
    waves : tuple of WaveStatus
        Progress of each maintenance wave.
    shares : tuple of ShareDistance
        Teams on queues with waiting requests.
    """

    generation: Generation
    answered: tuple[EntryVmId, ...]
    silent: tuple[MissingMember, ...]
    data_centres: tuple[DataCentreStatus, ...]
    waves: tuple[WaveStatus, ...]
    shares: tuple[ShareDistance, ...]
