"""Views as text for a terminal."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

__all__ = ('format_rows', 'format_view')


def format_rows(rows: Sequence[Any]) -> str:
    """Return views of one type, one a row; a single view one field a line."""
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
    return ''.join(_format_line(line, widths) for line in table)


def format_view(view: Any) -> str:
    """Return one view, one field a line."""
    return ''.join(
        f'{field.name}: {_format_value(getattr(view, field.name))}\n'
        for field in dataclasses.fields(view)
    )


def _format_line(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    ]
    return '{}\n'.format('  '.join(cells).rstrip())


def _format_value(found: object) -> str:
    if found is None:
        return '-'
    if isinstance(found, list | tuple):
        return ','.join(map(_format_value, found))
    # Callers choose some of the text; escapes keep the terminal's state.
    return json.dumps(found).strip('"')
