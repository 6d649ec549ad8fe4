"""Membership of entry VMs, and the configuration in force at each of them."""

from __future__ import annotations

from currantstage.coordination.membership._config_lease import ConfigLease
from currantstage.coordination.membership._configuration import Configuration
from currantstage.coordination.membership._head_observer import HeadObserver
from currantstage.coordination.membership._lease_continuity import LeaseContinuity
from currantstage.coordination.membership._lease_relay import (
    LeaseRelay,
    RelayEffect,
    RequestFleet,
    RequestRenewal,
    SendFleet,
)
from currantstage.coordination.membership._membership import (
    Membership,
    RenewalOutcome,
    RenewalRequest,
)
from currantstage.coordination.membership._peer_liveness import PeerLiveness

__all__ = [
    "RequestFleet",
    "RequestRenewal",
    "ConfigLease",
    "Configuration",
    "SendFleet",
    "HeadObserver",
    "LeaseContinuity",
    "LeaseRelay",
    "Membership",
    "PeerLiveness",
    "RelayEffect",
    "RenewalOutcome",
    "RenewalRequest",
]
