"""Messages with the request counts behind the service level objectives."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.requests import BudgetBurn, SeriesCount
from currantstage.state import EntryVmId, Generation, IncarnationId


class ServiceLevelReport(Struct, frozen=True, kw_only=True):
    """Request counts of one incarnation of an entry VM.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    covered_s : float
        Time since counting started, in seconds.
    uncounted : int
        Requests not counted because the number of series is limited.
    series : tuple of SeriesCount
    """

    entry_vm: EntryVmId
    incarnation: IncarnationId
    covered_s: float
    uncounted: int
    series: tuple[SeriesCount, ...]


class MemberAddress(Struct, frozen=True, kw_only=True):
    """Address at which one incarnation of an entry VM serves operators."""

    entry_vm: EntryVmId
    incarnation: IncarnationId
    http_address: str


class Members(Struct, frozen=True, kw_only=True):
    """The entry VMs that have a row in the table."""

    members: tuple[MemberAddress, ...]


class RespondingMember(Struct, frozen=True, kw_only=True):
    """An entry VM whose counts are included in a report."""

    entry_vm: EntryVmId
    covered_s: float
    uncounted: int


class MissingMember(Struct, frozen=True, kw_only=True):
    """An entry VM whose counts are missing from a report."""

    address: str
    reason: str


class BurnReport(Struct, frozen=True, kw_only=True):
    """Burn rates of the error budgets, over all entry VMs that responded.

    Parameters
    ----------
    generation : Generation
        The configuration whose objectives were used.
    are_members_known : bool
        Whether the rows of all entry VMs could be read; if not, further entry VMs may
        exist.
    answered : tuple of RespondingMember
        Entry VMs whose counts are included.
    silent : tuple of MissingMember
        Entry VMs whose counts are missing.
    budgets : tuple of BudgetBurn
    """

    generation: Generation
    are_members_known: bool
    answered: tuple[RespondingMember, ...]
    silent: tuple[MissingMember, ...]
    budgets: tuple[BudgetBurn, ...]
