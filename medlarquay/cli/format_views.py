"""Formatting of views as text for a terminal."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

__all__ = ('format_rows', 'format_view')


def format_rows(rows: Sequence[Any]) -> str:
    """Format views of one type as a table; a single view one field a line."""
    if not rows:
        return '(none)\n'
    if len(rows) == 1:
        return format_view(rows[0])
    names = [field.name for field in dataclasses.fields(rows[0])]
    table = [names]
    table.extend(
        [_format_value(getattr(row, name)) for name in names] for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return ''.join(_format_row(cells, widths) for cells in table)


def format_view(view: Any) -> str:
    """Format one view, one field a line."""
    return ''.join(
        f'{field.name}: {_format_value(getattr(view, field.name))}\n'
        for field in dataclasses.fields(view)
    )


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return '{}\n'.format('  '.join(padded).rstrip())


def _format_value(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, list | tuple):
        return ','.join(map(_format_value, value))
    # Callers choose some of the text; JSON escaping keeps control sequences
    # from reaching the terminal.
    return json.dumps(value).strip('"')
