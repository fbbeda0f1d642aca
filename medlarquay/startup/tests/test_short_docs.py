"""Modules compiled without the text of their docstrings."""

from medlarquay.startup import short_docs

_SOURCE = b"""'''Module.'''

import dataclasses


@dataclasses.dataclass
class Pair:
    '''Pair of numbers.'''

    first: int
    second: int = 2


def add(pair):
    '''Add.'''
    return pair.first + pair.second


def nothing():
    '''Only a docstring.'''


async def wait():
    '''Wait.'''
    return 'Wait.'
"""


def _execute() -> dict[str, object]:
    names: dict[str, object] = {'__name__': 'packed'}
    code = short_docs.compile_source(_SOURCE, 'packed.py')
    exec(code, names)  # noqa: S102, WPS421
    return names


def test_code_runs_without_docstrings() -> None:
    """Guards against a statement that is lost with a docstring."""
    names = _execute()
    pair = names['Pair'](first=1)
    assert names['add'](pair) == 3
    assert names['nothing']() is None
    docs = [names[name].__doc__ for name in ('add', 'nothing', 'wait')]
    assert docs == [None, None, None]


def test_dataclass_keeps_a_docstring() -> None:
    """Guards against signatures that are computed only to be a docstring."""
    assert _execute()['Pair'].__doc__ == '.'
