"""Messages that give out what an entry VM counted for the service levels."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.requests import BudgetBurn, SeriesCount
from currantstage.state import EntryVmId, Generation, IncarnationId


class ServiceLevelReport(Struct, frozen=True, kw_only=True):
    """What one start of an entry VM has counted.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    covered_s : float
        Time since it started to count, in seconds.
    uncounted : int
        Requests that it had no room to count.
    series : tuple of SeriesCount
    """

    entry_vm: EntryVmId
    incarnation: IncarnationId
    covered_s: float
    uncounted: int
    series: tuple[SeriesCount, ...]


class MemberAddress(Struct, frozen=True, kw_only=True):
    """Where one start of an entry VM serves operators."""

    entry_vm: EntryVmId
    incarnation: IncarnationId
    http_address: str


class Members(Struct, frozen=True, kw_only=True):
    """The entry VMs that have a row in the table."""

    members: tuple[MemberAddress, ...]


class AnsweredMember(Struct, frozen=True, kw_only=True):
    """An entry VM whose counts are in a report."""

    entry_vm: EntryVmId
    covered_s: float
    uncounted: int


class SilentMember(Struct, frozen=True, kw_only=True):
    """An entry VM whose counts are missing from a report."""

    address: str
    reason: str


class BurnReport(Struct, frozen=True, kw_only=True):
    """Service-level burn over all entry VMs that answered.

    Parameters
    ----------
    generation : Generation
        The configuration whose objectives were used.
    are_members_known : bool
        Whether the rows of all entry VMs could be read; if not, others may exist.
    answered : tuple of AnsweredMember
    silent : tuple of SilentMember
    budgets : tuple of BudgetBurn
    """

    generation: Generation
    are_members_known: bool
    answered: tuple[AnsweredMember, ...]
    silent: tuple[SilentMember, ...]
    budgets: tuple[BudgetBurn, ...]
