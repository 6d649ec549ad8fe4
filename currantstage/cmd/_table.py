"""Format plain-text tables for the terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from msgspec import Struct


def render_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table whose columns are as wide as their widest cell.

    >>> print(render_table(("vm", "state"), [("a1", "serving")]))
    VM  STATE
    a1  serving
    """
    lines = [[name.upper() for name in header]]
    lines.extend([str(cell) for cell in row] for row in rows)
    widths = [max(len(line[n]) for line in lines) for n in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_records(records: Sequence[Struct]) -> str:
    """Return a table with a column for each field; empty without records."""
    if not records:
        return ""
    names = records[0].__struct_fields__
    rows = [[_format_cell(getattr(each, name)) for name in names] for each in records]
    return render_table(names, rows)


def _format_cell(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "-"
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value)) or "-"
