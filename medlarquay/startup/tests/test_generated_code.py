"""Compiled code of generated methods."""

import dataclasses
import marshal
from collections.abc import Iterator

import pytest

from medlarquay.startup import generated_code


@pytest.fixture(autouse=True)
def _no_hook() -> Iterator[None]:
    yield
    generated_code.forget()


def _define() -> type:
    @dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
    class Pair:
        first: int
        second: int = 2

    return Pair


def test_known_code_defines_the_same_class() -> None:
    """Guards against methods of another class, or none."""
    compiler = generated_code.RecordingCompiler()
    generated_code.install(compiler)
    recorded = _define()
    assert compiler.codes
    generated_code.install(marshal.loads(marshal.dumps(compiler.codes)))
    known = _define()
    generated_code.forget()
    plain = _define()
    for defined in (recorded, known, plain):
        pair = defined(first=1)
        assert (pair.first, pair.second) == (1, 2)
        assert pair == defined(first=1, second=2)
        assert hash(pair) == hash(defined(first=1))
        with pytest.raises(dataclasses.FrozenInstanceError):
            pair.first = 3
        with pytest.raises(TypeError):
            defined()


def test_unknown_text_is_compiled() -> None:
    """Guards against a class that the archive was built without."""
    generated_code.install({})
    assert _define()(first=1).second == 2
