"""Plain tables on the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


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
