"""Components that all services of a daemon share: identity, clocks, store, peers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Self

from currantstage.application._metrics import DaemonMetrics
from currantstage.application._peer_service import PeerService
from currantstage.application._procedure_runner import ProcedureRunner
from currantstage.coordination.membership import Configuration, HeadObserver, Membership
from currantstage.coordination.store import DutyLeases, RetryPolicy, StoreAccess
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    FIRST_GENERATION,
    EntryVmRow,
    IncarnationId,
)
from currantstage.transport import PeerSockets, PlatformClient
from currantstage.util import MonotonicClock, UnixClock

if TYPE_CHECKING:
    from currantstage.config import EntryVmSettings, Settings
    from currantstage.state import Random

#: Length of the random id of an incarnation, in bits.
INCARNATION_BITS = 64


class DaemonCore:
    """The shared components on which the services of one daemon are built.

    Parameters
    ----------
    settings : Settings
    random : random.Random
        Random number generator of the daemon.
    """

    def __init__(self, settings: Settings, random: random.Random) -> None:
        self.settings = settings
        self.random = random
        self.clock = MonotonicClock()
        self.unix_clock = UnixClock()
        self.metrics = DaemonMetrics()
        self.platform = PlatformClient.from_config(settings.platform)
        self.runner = ProcedureRunner(
            table=self.platform,
            objects=self.platform,
            directory=self.platform,
            rebooter=self.platform,
            clock=self.clock,
            unix_clock=self.unix_clock,
        )
        self.configuration = Configuration()
        self.store = StoreAccess(random, RetryPolicy())
        self.head_observer = HeadObserver()
        self.membership = Membership(
            self.store,
            self.configuration,
            self.head_observer,
            _initial_row(settings.entry_vm, random),
        )
        own_row = self.membership.row
        self.leases = DutyLeases(self.store, own_row.entry_vm, own_row.incarnation)
        self.peers = PeerService(
            own_row.entry_vm, own_row.incarnation, settings.peers.secret.encode()
        )
        self.sockets = PeerSockets(settings.entry_vm.peer_address, self.peers.receive)

    @classmethod
    def from_config(cls, settings: Settings, seed: int | None = None) -> Self:
        """Return the core of a daemon with these settings."""
        return cls(settings, random.Random(seed))

    @property
    def own_row(self) -> EntryVmRow:
        """The row of this incarnation of the entry VM, as it was last written."""
        return self.membership.row


def _initial_row(entry_vm: EntryVmSettings, random: Random) -> EntryVmRow:
    return EntryVmRow(
        entry_vm=entry_vm.id,
        incarnation=IncarnationId(f"{random.getrandbits(INCARNATION_BITS):016x}"),
        data_centre=entry_vm.data_centre,
        http_address=entry_vm.http_address,
        peer_address=entry_vm.peer_address,
        applied_generation=FIRST_GENERATION,
        config_lease_s=DEFAULT_CONFIG_LEASE_S,
    )
