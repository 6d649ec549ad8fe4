"""How long ago the configuration in force was known to be the newest."""

from __future__ import annotations


class Confirmation:
    """When the configuration was last known to be the newest one.

    An answer of the store confirms the configuration as of the time at which the store
    was asked, since the store's answers are linearizable.

    Examples
    --------
    >>> confirmation = Confirmation()
    >>> confirmation.age_s(now_s=5.0)
    inf
    >>> confirmation.confirm(asked_s=4.0)
    >>> confirmation.confirm(asked_s=3.5)
    >>> confirmation.age_s(now_s=5.0)
    1.0
    """

    def __init__(self) -> None:
        #: When the newest question was sent that has been answered.
        self.confirmed_s = float("-inf")

    def confirm(self, asked_s: float) -> None:
        """Record an answer to a question that was sent at `asked_s`."""
        self.confirmed_s = max(self.confirmed_s, asked_s)

    def is_as_of(self, time_s: float) -> bool:
        """Return whether the configuration was the newest one at `time_s` or later."""
        return self.confirmed_s >= time_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the last confirmation, infinite if there is none."""
        return now_s - self.confirmed_s
