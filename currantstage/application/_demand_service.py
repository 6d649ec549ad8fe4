"""Report demand to the holder of the fleet duty, which estimates it from reports."""

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

#: Interval between reports, in seconds.
DEMAND_INTERVAL_S = 2.0


class DemandService:
    """Reports this entry VM's demand to the holder of the fleet duty.

    Only the holder plans moves, so reports go only to it; the number of messages is
    then proportional to the number of entry VMs. A new holder starts with an empty
    estimate.

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
        self._received_demand = DemandAggregator()
        self._estimator = DemandEstimator()

    def report(self, peers: PeerService, link: PeerLink) -> None:
        """Send a report to the holder of the fleet duty, or process it if held here."""
        slots = self._path.driver.demand_slots()
        now_s = self._clock.now_s()
        if self._leases.grant(FleetDuty.kind, now_s) is not None:
            report = DemandReport(self._data_centre, slots)
            self._received_demand.receive(self._entry_vm, report, now_s)
            self._update_estimate(now_s)
            return
        self._estimator = DemandEstimator()
        holder = self._leases.holder(FleetDuty.kind)
        if holder is not None and holder != self._entry_vm:
            message = DemandMessage(data_centre=self._data_centre, slots_of_queue=slots)
            peers.send(link, holder, message)

    def _update_estimate(self, now_s: float) -> None:
        fleet = self._configuration.fleet
        demand = self._received_demand.demand_vms(fleet, now_s)
        self._estimator.observe(now_s, demand, max_vms_per_pool(fleet))

    def handle_frame(self, frame: PeerFrame) -> None:
        """Handle a report from a peer."""
        message = frame.message
        assert isinstance(message, DemandMessage)
        report = DemandReport(message.data_centre, message.slots_of_queue)
        self._received_demand.receive(frame.sender, report, self._clock.now_s())

    def plan(self, snapshot: FleetSnapshot) -> tuple[Action, ...]:
        """Return the moves that the estimated demand makes worthwhile."""
        return plan_moves(snapshot, self._estimator, self._policy)
