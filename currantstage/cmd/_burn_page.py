"""Render the burn report as one self-contained HTML page with a plot."""

from __future__ import annotations

import math
from html import escape
from string import Template
from typing import TYPE_CHECKING

from currantstage.cmd._burn_table import (
    describe_coverage,
    format_duration,
    format_fraction,
    format_rate,
)
from currantstage.coordination.requests import ALERT_RULES, WINDOWS_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests import BudgetBurn
    from currantstage.protocol import BurnReport

#: Range of burn rates on the plot's logarithmic axis.
LOWEST_RATE, HIGHEST_RATE = 0.1, 1000.0
_WIDTH, _ROW_HEIGHT, _TOP, _MARGIN = 360, 46, 20, 12
_COLOURS = ("#1b6ca8", "#2a9d8f", "#e9a03b", "#7a4fa3")

_PAGE = Template(
    """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
body { font: 16px/1.45 system-ui, sans-serif; margin: 1rem auto; max-width: 60rem;
  padding: 0 .75rem; color: #1d2733; background: #fff; }
h1 { font-size: 1.4rem; }
svg { width: 100%; max-width: 44rem; height: auto; display: block; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
svg text { paint-order: stroke; stroke: #fff; stroke-width: 4px; }
th, td { padding: .3rem .6rem; text-align: right; border-bottom: 1px solid #d5dce3;
  white-space: nowrap; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
tr.page { background: #fde3e1; }
tr.ticket { background: #fff3d6; }
.key span { display: inline-block; margin-right: 1rem; }
.key i { display: inline-block; width: .8rem; height: .8rem; border-radius: 50%;
  margin-right: .3rem; }
</style>
</head>
<body>
<h1>Service-level burn, configuration $generation</h1>
<ul>
$notes</ul>
<p class="key">$key</p>
$plot
<p>A rate of 1 uses up the error budget exactly; the lines are the rates that raise
alerts.</p>
<div class="scroll">
<table>
<thead><tr>$headings</tr></thead>
<tbody>
$rows</tbody>
</table>
</div>
</body>
</html>
"""
)


def render_page(report: BurnReport) -> str:
    """Return the page.

    The page loads no external resources, and every name in it is escaped.
    """
    windows = [format_duration(window_s) for window_s in WINDOWS_S]
    headings = [
        "Queue",
        "Team",
        "Objective",
        "Target",
        *windows,
        "Budget left",
        "Alert",
    ]
    return _PAGE.substitute(
        generation=report.generation,
        notes="".join(
            f"<li>{escape(note)}</li>\n" for note in describe_coverage(report)
        ),
        key="".join(
            f'<span><i style="background:{colour}"></i>{escape(window)}</span>'
            for colour, window in zip(_COLOURS, windows, strict=True)
        ),
        plot=_render_plot(report),
        headings="".join(f"<th>{escape(heading)}</th>" for heading in headings),
        rows="".join(_render_row(budget) for budget in report.budgets),
    )


def _render_row(budget: BudgetBurn) -> str:
    cells = [
        budget.queue,
        budget.team,
        budget.objective.value,
        f"{budget.target:.4g}",
        *(format_rate(window.burn_rate) for window in budget.windows),
        format_fraction(budget.remaining_budget),
        budget.alert.value,
    ]
    text = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
    return f'<tr class="{budget.alert.value}">{text}</tr>\n'


def _render_plot(report: BurnReport) -> str:
    height = _TOP + _ROW_HEIGHT * len(report.budgets) + _MARGIN
    shapes = [*_render_grid(height)]
    for index, budget in enumerate(report.budgets):
        shapes.extend(_render_budget(budget, _TOP + _ROW_HEIGHT * index))
    return (
        f'<svg viewBox="0 0 {_WIDTH} {height}" role="img" font-size="11" '
        'aria-label="Burn rate by window on a logarithmic axis">'
        f"{''.join(shapes)}</svg>"
    )


def _render_grid(height: float) -> Iterator[str]:
    for rule in ALERT_RULES:
        x = _axis_position(rule.burn_rate)
        yield (
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{_TOP - 4}" y2="{height}" '
            'stroke="#b3403a" stroke-dasharray="3 3"/>'
            f'<text x="{x:.1f}" y="11" text-anchor="middle">{rule.burn_rate:g}</text>'
        )


def _render_budget(budget: BudgetBurn, top: float) -> Iterator[str]:
    name = f"{budget.queue} / {budget.team}: {budget.objective.value}"
    y = top + 32
    yield f'<text x="{_MARGIN}" y="{top + 18}">{escape(name)}</text>'
    yield (
        f'<line x1="{_MARGIN}" x2="{_WIDTH - _MARGIN}" y1="{y}" y2="{y}" '
        'stroke="#d5dce3"/>'
    )
    for colour, window in zip(_COLOURS, budget.windows, strict=True):
        if window.burn_rate is None:
            continue
        label = escape(format_duration(window.window_s))
        yield (
            f'<circle cx="{_axis_position(window.burn_rate):.1f}" cy="{y}" r="4.5" '
            f'fill="{colour}" fill-opacity="0.85">'
            f"<title>{label}: {format_rate(window.burn_rate)}</title></circle>"
        )


def _axis_position(rate: float) -> float:
    """Return the x coordinate of a burn rate, clamped to the ends of the axis."""
    clamped = min(max(rate, LOWEST_RATE), HIGHEST_RATE)
    fraction = math.log(clamped / LOWEST_RATE) / math.log(HIGHEST_RATE / LOWEST_RATE)
    return _MARGIN + fraction * (_WIDTH - 2 * _MARGIN)
