"""Tests that ``docs/promises.md`` refers to existing tests and programs."""

import pathlib
import re
from importlib import util

import pytest

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = (_ROOT / 'docs' / 'promises.md').read_text()


@pytest.mark.parametrize(
    ('path', 'name'),
    sorted(set(re.findall(r'`([\w/]+\.py)::(\w+)`', _PAGE))),
)
def test_named_test_exists(path: str, name: str) -> None:
    """Guards against a reference to a renamed or removed test."""
    text = (_ROOT / 'medlarquay' / path).read_text()
    assert re.search(rf'^(def {name}\(|{name} = )', text, re.MULTILINE)


@pytest.mark.parametrize(
    'module',
    sorted(set(re.findall(r'`(bench\.\w+)`', _PAGE))),
)
def test_named_program_exists(module: str) -> None:
    """Guards against a reference to a renamed or removed program."""
    assert util.find_spec(module) is not None


def test_every_promise_has_a_row() -> None:
    """Guards against a promise of the design document without a row."""
    design = (_ROOT / 'docs' / 'design.md').read_text()
    promised = set(re.findall(r'^\| (P\d+) \|', design, re.MULTILINE))
    assert promised == set(re.findall(r'^\| (P\d+) ', _PAGE, re.MULTILINE))
