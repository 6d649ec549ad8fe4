"""Report demand to the holder of the fleet duty, which learns from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.fleet import (
    DemandAggregator,
    DemandEstimator,
    DemandReport,
    FleetDuty,
    MovePolicy,
    max_vms_per_pool,
    plan_moves,
)
from currantstage.protocol import DemandMessage

if TYPE_CHECKING:
    from currantstage.application._peer_service import PeerService
    from currantstage.application._request_path import RequestPath
    from currantstage.coordination.fleet import Action, FleetSnapshot
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.store import DutyLeases
    from currantstage.protocol import PeerFrame
    from currantstage.state import Clock, DataCentreId, EntryVmId, PeerLink

#: Pause between two reports, in seconds.
DEMAND_INTERVAL_S = 2.0


class DemandService:
    """Reports this entry VM's demand to the holder of the fleet duty.

    Only the holder plans moves, so only it is told, which keeps the messages in
    proportion to the entry VMs. A new holder learns the demand anew.

    Parameters
    ----------
    entry_vm : EntryVmId
    data_centre : DataCentreId
    configuration : Configuration
    path : RequestPath
    leases : DutyLeases
    clock : Clock
    policy : MovePolicy, optional
    """

    def __init__(
        self,
        entry_vm: EntryVmId,
        data_centre: DataCentreId,
        configuration: Configuration,
        path: RequestPath,
        leases: DutyLeases,
        clock: Clock,
        policy: MovePolicy | None = None,
    ) -> None:
        self._entry_vm = entry_vm
        self._data_centre = data_centre
        self._configuration = configuration
        self._path = path
        self._leases = leases
        self._clock = clock
        self._policy = policy or MovePolicy()
        self._board = DemandAggregator()
        self._estimator = DemandEstimator()

    def report(self, peers: PeerService, link: PeerLink) -> None:
        """Tell the holder of the fleet duty, or learn when that is this entry VM."""
        slots = self._path.driver.demand_slots()
        now_s = self._clock.now_s()
        if self._leases.grant(FleetDuty.kind, now_s) is not None:
            report = DemandReport(self._data_centre, slots)
            self._board.receive(self._entry_vm, report, now_s)
            self._learn(now_s)
            return
        self._estimator = DemandEstimator()
        holder = self._leases.holder(FleetDuty.kind)
        if holder is not None and holder != self._entry_vm:
            message = DemandMessage(data_centre=self._data_centre, slots_of_queue=slots)
            peers.send(link, holder, message)

    def _learn(self, now_s: float) -> None:
        fleet = self._configuration.fleet
        demand = self._board.demand_vms(fleet, now_s)
        self._estimator.observe(now_s, demand, max_vms_per_pool(fleet))

    def hear(self, frame: PeerFrame) -> None:
        """Take a peer's report."""
        message = frame.message
        assert isinstance(message, DemandMessage)
        report = DemandReport(message.data_centre, message.slots_of_queue)
        self._board.receive(frame.sender, report, self._clock.now_s())

    def plan(self, snapshot: FleetSnapshot) -> tuple[Action, ...]:
        """Return the moves that the demand learnt so far makes worthwhile."""
        return plan_moves(snapshot, self._estimator, self._policy)
