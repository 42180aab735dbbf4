"""Formats tables as text with aligned columns.

>>> print(format_table(("name", "work"), [("kd-1", 12)]))
name  work
kd-1  12
"""

from collections.abc import Iterable, Sequence
from typing import Any


def format_table(
    headings: Sequence[str], rows: Iterable[Sequence[Any]], *, indent: str = ""
) -> str:
    """Format a table: one line for the headings and one for each row."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        indent
        + "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
