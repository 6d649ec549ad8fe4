"""Health of backend servers, as distinct from the health of one connection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from currantstage.state import VmId

#: Interval between the first two probes of a server that is down, in seconds.
INITIAL_PROBE_INTERVAL_S = 0.25
#: Longest interval between two probes, in seconds.
MAX_PROBE_INTERVAL_S = 4.0


class ServerState(Enum):
    """Known state of a backend server."""

    UP = "up"
    #: A connection failed; a probe on a new connection is due or in progress.
    SUSPECT = "suspect"
    #: A probe on a new connection failed too; the server gets no new requests.
    DOWN = "down"


@dataclass(slots=True)
class _ProbeState:
    """Probing of a server that is not known to be up.

    Parameters
    ----------
    state : ServerState
    probe_at_s : float or None
        When the next probe is due; None while one is in progress.
    interval_s : float
        Interval between the next probe and the one after it.
    """

    state: ServerState
    probe_at_s: float | None
    interval_s: float = INITIAL_PROBE_INTERVAL_S


class ServerHealth:
    """Tracks the state of each backend server from failed connections and probes.

    A failed connection makes its server suspect, never down: only a failed probe on a
    new connection marks it as down.
    """

    def __init__(self) -> None:
        self._probe_states: dict[VmId, _ProbeState] = {}

    def state_of(self, vm: VmId) -> ServerState:
        """Return the known state of `vm`."""
        probe = self._probe_states.get(vm)
        return ServerState.UP if probe is None else probe.state

    def on_connection_failed(self, vm: VmId, now_s: float) -> None:
        """Mark `vm` as suspect: a connection went silent, broke or failed to open."""
        if vm not in self._probe_states:
            self._probe_states[vm] = _ProbeState(ServerState.SUSPECT, probe_at_s=now_s)

    def due_probes(self, now_s: float) -> list[VmId]:
        """Return the servers to probe now; report each result to `on_probe`."""
        due = [
            vm
            for vm, probe in self._probe_states.items()
            if probe.probe_at_s is not None and probe.probe_at_s <= now_s
        ]
        for vm in due:
            self._probe_states[vm].probe_at_s = None
        return due

    def on_probe(self, vm: VmId, is_answered: bool, now_s: float) -> None:
        """Record the result of a probe on a new connection."""
        probe = self._probe_states.get(vm)
        if probe is None:
            return
        if is_answered:
            del self._probe_states[vm]
            return
        probe.state = ServerState.DOWN
        probe.probe_at_s = now_s + probe.interval_s
        probe.interval_s = min(probe.interval_s * 2, MAX_PROBE_INTERVAL_S)

    def retain(self, vms: Container[VmId]) -> None:
        """Discard the state of servers that are not in `vms`."""
        for vm in [vm for vm in self._probe_states if vm not in vms]:
            del self._probe_states[vm]
