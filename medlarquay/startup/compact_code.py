"""Code objects without the positions of their instructions."""

import types

__all__ = ('without_positions',)

# Entry of the location table of Python 3.11 and later that covers up to eight
# code units and has a line but no columns; see Objects/locations.md of CPython.
_ENTRY_UNITS = 8
_ENTRY_WITHOUT_COLUMNS = 0x80 | 13 << 3
_SAME_LINE = 0
_CODE_UNIT_BYTES = 2


def without_positions(code: types.CodeType) -> types.CodeType:
    """Return code whose instructions all have the line of its definition.

    Tables of positions take a quarter of the memory of imported code. A
    traceback still names the function and where it is defined.
    """
    units = len(code.co_code) // _CODE_UNIT_BYTES
    full, rest = divmod(units, _ENTRY_UNITS)
    table = _table_entry(_ENTRY_UNITS) * full
    if rest:
        table += _table_entry(rest)
    return code.replace(
        co_linetable=table,
        co_consts=tuple(_compact(constant) for constant in code.co_consts),
    )


def _table_entry(units: int) -> bytes:
    return bytes((_ENTRY_WITHOUT_COLUMNS | (units - 1), _SAME_LINE))


def _compact(constant: object) -> object:
    if isinstance(constant, types.CodeType):
        return without_positions(constant)
    return constant
