"""Which entry VMs belong to the fleet, and which configuration each has in force."""

from __future__ import annotations

from currantstage.coordination.membership._config_lease import ConfigLease
from currantstage.coordination.membership._configuration import Configuration
from currantstage.coordination.membership._head_watch import HeadWatch
from currantstage.coordination.membership._lease_continuity import LeaseContinuity
from currantstage.coordination.membership._lease_relay import (
    AskFleet,
    AskRenewal,
    GiveFleet,
    LeaseRelay,
    RelayEffect,
)
from currantstage.coordination.membership._membership import (
    Membership,
    RenewalOutcome,
    RenewalRequest,
)
from currantstage.coordination.membership._peer_liveness import PeerLiveness

__all__ = [
    "AskFleet",
    "AskRenewal",
    "ConfigLease",
    "Configuration",
    "GiveFleet",
    "HeadWatch",
    "LeaseContinuity",
    "LeaseRelay",
    "Membership",
    "PeerLiveness",
    "RelayEffect",
    "RenewalOutcome",
    "RenewalRequest",
]
