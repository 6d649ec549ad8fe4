"""The burn report as plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.requests import WINDOWS_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests import BudgetBurn
    from currantstage.protocol import BurnReport

_SPANS = ((86_400, "d"), (3_600, "h"), (60, "min"))


def describe_span(seconds: float) -> str:
    """Return a time span in its largest whole unit.

    >>> describe_span(21_600), describe_span(90), describe_span(5)
    ('6 h', '1 min', '5 s')
    """
    for size_s, unit in _SPANS:
        if seconds >= size_s:
            return f"{seconds // size_s:.0f} {unit}"
    return f"{seconds:.0f} s"


def describe_rate(rate: float | None) -> str:
    """Return a burn rate, or a dash when there was no request.

    >>> describe_rate(None), describe_rate(0.04), describe_rate(14.44)
    ('-', '0.04', '14.4')
    """
    if rate is None:
        return "-"
    return f"{rate:.2f}" if rate < 1 else f"{rate:.1f}"


def describe_part(part: float | None) -> str:
    """Return a part in percent, or a dash.

    >>> describe_part(0.256), describe_part(None)
    ('26%', '-')
    """
    return "-" if part is None else f"{part:.0%}"


def describe_coverage(report: BurnReport) -> Iterator[str]:
    """Yield what a reader must know about gaps in the report."""
    covered = [each.covered_s for each in report.answered]
    names = ", ".join(sorted(each.entry_vm for each in report.answered))
    yield f"{len(covered)} entry VMs answered: {names}"
    shortest_s, longest_s = min(covered), max(covered)
    if shortest_s < WINDOWS_S[-1]:
        yield (
            f"they have counted for {describe_span(shortest_s)} to "
            f"{describe_span(longest_s)}: longer windows hold no more than that, and "
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
    heads = ["queue", "team", "objective", "target"]
    heads += [describe_span(window_s) for window_s in WINDOWS_S]
    rows = [[*heads, "budget left", "alert"]]
    rows += [_row(each) for each in report.budgets]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    notes = [f"# {note}" for note in describe_coverage(report)]
    return "\n".join([*notes, *(line.rstrip() for line in lines)])


def _row(budget: BudgetBurn) -> list[str]:
    return [
        budget.queue,
        budget.team,
        budget.objective.value,
        f"{budget.target:.4g}",
        *(describe_rate(window.burn_rate) for window in budget.windows),
        describe_part(budget.remaining_budget),
        budget.alert.value,
    ]
