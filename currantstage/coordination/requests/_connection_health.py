"""Whether a server answers, told apart from whether one connection does."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from currantstage.state import VmId

#: Pause before the second probe of a server that is down, in seconds.
INITIAL_PROBE_INTERVAL_S = 0.25
#: Longest pause between two probes, in seconds.
MAX_PROBE_INTERVAL_S = 4.0


class ServerState(Enum):
    """What is known of a backend server."""

    UP = "up"
    #: A connection failed; a probe on a fresh one is due or under way.
    SUSPECT = "suspect"
    #: A fresh connection got no answer either: no new requests.
    DOWN = "down"


@dataclass(slots=True)
class _ProbeState:
    """A server that is not known to be up.

    Parameters
    ----------
    state : ServerState
    probe_at_s : float or None
        None while a probe is under way.
    interval_s : float
        Pause before the probe after the next.
    """

    state: ServerState
    probe_at_s: float | None
    interval_s: float = INITIAL_PROBE_INTERVAL_S


class ServerHealth:
    """Follows each backend server through failed connections and probes.

    A failed connection makes its server suspect, never down: only a probe on a fresh
    connection decides that.
    """

    def __init__(self) -> None:
        self._probe_states: dict[VmId, _ProbeState] = {}

    def state_of(self, vm: VmId) -> ServerState:
        """Return what is known of `vm`."""
        doubt = self._probe_states.get(vm)
        return ServerState.UP if doubt is None else doubt.state

    def on_connection_failed(self, vm: VmId, now_s: float) -> None:
        """Doubt `vm`, since a connection went silent, broke, or could not be made."""
        if vm not in self._probe_states:
            self._probe_states[vm] = _ProbeState(ServerState.SUSPECT, probe_at_s=now_s)

    def due_probes(self, now_s: float) -> list[VmId]:
        """Return the servers to probe now; each must be reported to `on_probe`."""
        due = [
            vm
            for vm, doubt in self._probe_states.items()
            if doubt.probe_at_s is not None and doubt.probe_at_s <= now_s
        ]
        for vm in due:
            self._probe_states[vm].probe_at_s = None
        return due

    def on_probe(self, vm: VmId, is_answered: bool, now_s: float) -> None:
        """Take the result of a probe on a fresh connection."""
        doubt = self._probe_states.get(vm)
        if doubt is None:
            return
        if is_answered:
            del self._probe_states[vm]
            return
        doubt.state = ServerState.DOWN
        doubt.probe_at_s = now_s + doubt.interval_s
        doubt.interval_s = min(doubt.interval_s * 2, MAX_PROBE_INTERVAL_S)

    def retain(self, vms: Container[VmId]) -> None:
        """Forget the servers that are not in `vms`."""
        for vm in [vm for vm in self._probe_states if vm not in vms]:
            del self._probe_states[vm]
