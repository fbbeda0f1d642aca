"""Tables whose rows share the names of their columns."""

import dataclasses
from typing import Any

__all__ = ('ColumnTable', 'read_table')

_NAME_COLUMN = 'name'


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
        """Return the fields of one entry by column."""
        return dict(zip(self.columns, self.rows[name], strict=True))

    def column(self, column: str) -> list[Any]:
        """Return a field of all entries that have it."""
        if column not in self.columns:
            return []
        index = self.columns.index(column)
        fields = (row[index] for row in self.rows.values())
        return [field for field in fields if field is not None]


def read_table(published: Any) -> ColumnTable:
    """Parse a published table.

    Parameters
    ----------
    published : dict
        ``columns`` and ``rows`` as published.

    Raises
    ------
    TypeError, KeyError
        If a part is missing or of another type.
    ValueError
        If a row and the columns differ in length, or if there are duplicate
        columns or names.

    Examples
    --------
    >>> read_table({'columns': ['name', 'size'], 'rows': [['a', 1]]}).rows
    {'a': ['a', 1]}
    """
    columns = [
        _check_text(column) for column in _check_list(published['columns'])
    ]
    if len(set(columns)) < len(columns):
        raise ValueError('duplicate columns')
    rows = _check_list(published['rows'])
    name_index = columns.index(_NAME_COLUMN)
    by_name = {
        _check_text(_check_row(row, columns)[name_index]): row for row in rows
    }
    if len(by_name) < len(rows):
        raise ValueError('duplicate names')
    return ColumnTable(columns=columns, rows=by_name)


def _check_row(candidate: Any, columns: list[str]) -> list[Any]:
    row = _check_list(candidate)
    if len(row) == len(columns):
        return row
    raise ValueError('row and columns differ in length')


def _check_list(candidate: Any) -> list[Any]:
    if isinstance(candidate, list):
        return candidate
    raise TypeError('must be a list')


def _check_text(candidate: Any) -> str:
    if isinstance(candidate, str):
        return candidate
    raise TypeError('must be a string')
