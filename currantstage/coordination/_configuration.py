"""The configuration in force at one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination._config_lease import ConfigLease
from currantstage.state import Fleet, Generation

if TYPE_CHECKING:
    from collections.abc import Callable


class Configuration:
    """Holds the newest fleet that this entry VM has applied, under its lease.

    Generations never fall: an older fleet is ignored.
    """

    def __init__(self) -> None:
        self._fleet = Fleet()
        self._listeners: list[Callable[[], None]] = []
        self.lease = ConfigLease()

    @property
    def fleet(self) -> Fleet:
        """The fleet in force."""
        return self._fleet

    def on_apply(self, listener: Callable[[], None]) -> None:
        """Call `listener` as part of each `apply`.

        The entry VM's row says only afterwards that the fleet is in force here.
        """
        self._listeners.append(listener)

    def may_serve_keyed(self, now_s: float) -> bool:
        """Return whether work that needs a key may be admitted or started.

        Once the lease has lapsed, a newer generation may have been accepted without
        this entry VM, and keys that it still knows may be withdrawn.
        """
        return self.lease.is_held(now_s)

    def lacks(self, generation: Generation) -> bool:
        """Return whether `generation` is newer than the one in force."""
        return generation > self._fleet.generation

    def apply(self, fleet: Fleet) -> bool:
        """Put `fleet` in force; return False when it is not newer."""
        if not self.lacks(fleet.generation):
            return False
        self._fleet = fleet
        for listener in self._listeners:
            listener()
        return True
