"""Code without the positions of its instructions."""

import traceback
import types
from collections.abc import Callable

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarquay.startup import compact_code

_SOURCE = """

def fail(number):
    '''Fail.'''
    total = 0
    for part in range(number):
        total += part
    return [1 / (total - total) for part in range(1)]
"""
_DEFINED_AT = 3


def _error_of(function: Callable[[int], object]) -> Exception:
    try:
        function(9)
    except ZeroDivisionError as error:
        return error
    pytest.fail('no error was raised')


def _execute(source: str) -> dict[str, object]:
    names: dict[str, object] = {}
    exec(_compile(source), names)  # noqa: S102, WPS421
    return names


def _compile(source: str) -> types.CodeType:
    code = compile(  # noqa: WPS421
        source, 'packed.py', 'exec', dont_inherit=True
    )
    return compact_code.without_positions(code)


def test_traceback_names_the_function_and_its_definition() -> None:
    """Guards against an error whose traceback cannot be formatted."""
    function = _execute(_SOURCE)['fail']
    error = _error_of(function)
    frames = traceback.extract_tb(error.__traceback__)
    lines = {frame.name: frame.lineno for frame in frames}
    assert lines['fail'] == _DEFINED_AT
    assert 'packed.py' in ''.join(traceback.format_exception(error))


@hypothesis.given(statements=st.integers(0, 40))
@hypothesis.settings(derandomize=True)
def test_every_instruction_has_a_line(statements: int) -> None:
    """Guards against a table that is shorter than the code."""
    source = '\n'.join(f'x{number} = {number}' for number in range(statements))
    code = _compile(source)
    assert {line for _, _, line in code.co_lines()} == {code.co_firstlineno}
    assert max(end for _, end, _ in code.co_lines()) == len(code.co_code)
