"""Expected failures: the tests that ``KNOWN-RED.txt`` lists."""

import pathlib
import re

import pytest

_KNOWN_RED_FILE = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'
_ENTRY = re.compile(r'test: (\S+::\S+)')


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strictly expected to fail.

    Only a failed assertion counts as expected; any other exception, or a
    listed test that passes, is an error.
    """
    text = (
        _KNOWN_RED_FILE.read_text(encoding='utf-8')
        if _KNOWN_RED_FILE.exists()
        else ''
    )
    known_red = set(_ENTRY.findall(text))
    for item in items:
        if item.nodeid in known_red:
            mark = pytest.mark.xfail(
                strict=True,
                raises=AssertionError,
                reason='listed in KNOWN-RED.txt',
            )
            item.add_marker(mark)
