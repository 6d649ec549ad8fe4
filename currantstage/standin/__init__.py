"""Stand-ins for the platform and for backend servers, used by demo and tests."""

from __future__ import annotations

from currantstage.standin._backend import MAX_HOLD_S, BackendMode, BackendStandIn
from currantstage.standin._cluster import (
    DATA_CENTRES,
    OPERATOR_KEY,
    VM_NAMES,
    LoopbackCluster,
    find_free_ports,
    sample_note,
)
from currantstage.standin._platform import PlatformMode, PlatformStandIn, start_site
from currantstage.standin._table import PlatformContent

__all__ = [
    "BackendMode",
    "BackendStandIn",
    "DATA_CENTRES",
    "LoopbackCluster",
    "OPERATOR_KEY",
    "PlatformContent",
    "PlatformMode",
    "PlatformStandIn",
    "MAX_HOLD_S",
    "VM_NAMES",
    "find_free_ports",
    "sample_note",
    "start_site",
]
