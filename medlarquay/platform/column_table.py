"""Tables whose rows share the names of their columns."""

import dataclasses
from typing import Any

__all__ = ('ColumnTable', 'read_table')

_NAME = 'name'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColumnTable:
    """Table whose rows share the names of their columns.

    Attributes
    ----------
    columns : list of str
        Names of the fields of each entry.
    rows : dict
        Fields of each entry in the order of the columns, by its name; None
        where an entry lacks a field.
    """

    columns: list[str]
    rows: dict[str, list[Any]]

    def entry(self, name: str) -> dict[str, Any]:
        """Return the fields of one entry by their names."""
        return dict(zip(self.columns, self.rows[name], strict=True))


def read_table(found: Any) -> ColumnTable:
    """Return a published table.

    Parameters
    ----------
    found : dict
        ``columns`` and ``rows`` as published.

    Raises
    ------
    TypeError, KeyError
        If a part is missing or of another type.
    ValueError
        If a row has another length than the columns, or if columns or
        names repeat.

    Examples
    --------
    >>> read_table({'columns': ['name', 'size'], 'rows': [['a', 1]]}).rows
    {'a': ['a', 1]}
    """
    columns = [_text(column) for column in _list(found['columns'])]
    if len(set(columns)) < len(columns):
        raise ValueError('columns repeat')
    rows = _list(found['rows'])
    place = columns.index(_NAME)
    by_name = {_text(_row(row, columns)[place]): row for row in rows}
    if len(by_name) < len(rows):
        raise ValueError('names repeat')
    return ColumnTable(columns=columns, rows=by_name)


def _row(found: Any, columns: list[str]) -> list[Any]:
    row = _list(found)
    if len(row) == len(columns):
        return row
    raise ValueError('a row has another length than the columns')


def _list(found: Any) -> list[Any]:
    if isinstance(found, list):
        return found
    raise TypeError('must be a list')


def _text(found: Any) -> str:
    if isinstance(found, str):
        return found
    raise TypeError('must be a text')
