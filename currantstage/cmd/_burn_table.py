"""Render the burn report as plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.requests import WINDOWS_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests import BudgetBurn
    from currantstage.protocol import BurnReport

_UNITS = ((86_400, "d"), (3_600, "h"), (60, "min"))


def format_duration(seconds: float) -> str:
    """Format a duration in the largest unit that it fills, rounded down.

    >>> format_duration(21_600), format_duration(90), format_duration(5)
    ('6 h', '1 min', '5 s')
    """
    for size_s, unit in _UNITS:
        if seconds >= size_s:
            return f"{seconds // size_s:.0f} {unit}"
    return f"{seconds:.0f} s"


def format_rate(rate: float | None) -> str:
    """Format a burn rate; a dash stands for a window without requests.

    >>> format_rate(None), format_rate(0.04), format_rate(14.44)
    ('-', '0.04', '14.4')
    """
    if rate is None:
        return "-"
    return f"{rate:.2f}" if rate < 1 else f"{rate:.1f}"


def format_fraction(fraction: float | None) -> str:
    """Format a fraction as a percentage; a dash stands for an unknown one.

    >>> format_fraction(0.256), format_fraction(None)
    ('26%', '-')
    """
    return "-" if fraction is None else f"{fraction:.0%}"


def describe_coverage(report: BurnReport) -> Iterator[str]:
    """Yield notices on which requests the report covers and which it lacks."""
    covered = [each.covered_s for each in report.answered]
    names = ", ".join(sorted(each.entry_vm for each in report.answered))
    yield f"{len(covered)} entry VMs answered: {names}"
    shortest_s, longest_s = min(covered), max(covered)
    if shortest_s < WINDOWS_S[-1]:
        yield (
            f"they have counted for {format_duration(shortest_s)} to "
            f"{format_duration(longest_s)}: longer windows hold no more than that, and "
            "nothing of entry VMs that were replaced"
        )
    uncounted = sum(each.uncounted for each in report.answered)
    if uncounted:
        yield f"{uncounted} requests were not counted for want of room"
    for silent in report.silent:
        yield f"NO ANSWER from {silent.address}: its requests are missing"
    if not report.are_members_known:
        yield "the table could not be read: there may be entry VMs not named here"


def render_table(report: BurnReport) -> str:
    """Return the report as aligned columns."""
    headings = ["queue", "team", "objective", "target"]
    headings += [format_duration(window_s) for window_s in WINDOWS_S]
    rows = [[*headings, "budget left", "alert"]]
    rows += [_cells(each) for each in report.budgets]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    notes = [f"# {note}" for note in describe_coverage(report)]
    return "\n".join([*notes, *(line.rstrip() for line in lines)])


def _cells(budget: BudgetBurn) -> list[str]:
    return [
        budget.queue,
        budget.team,
        budget.objective.value,
        f"{budget.target:.4g}",
        *(format_rate(window.burn_rate) for window in budget.windows),
        format_fraction(budget.remaining_budget),
        budget.alert.value,
    ]
