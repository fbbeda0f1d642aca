"""Modules whose import is put off until they are used."""

import importlib
import inspect
import sys
from collections.abc import Iterator

import pytest

from medlarquay.startup import deferred_module

# Small modules of the standard library that no test uses.
_NAME = 'this'
_PACKAGE = 'wsgiref'
_CHILD = 'wsgiref.util'


@pytest.fixture(autouse=True)
def _loaded_modules() -> Iterator[None]:
    names = (_NAME, _PACKAGE, _CHILD)
    before = {name: sys.modules.pop(name, None) for name in names}
    yield
    for name, module in before.items():
        sys.modules.pop(name, None)
        if module is not None:
            sys.modules[name] = module


def test_module_is_imported_when_it_is_used() -> None:
    """Guards against a deferred module that fails its first user."""
    deferred_module.defer_import(_CHILD)
    package = importlib.import_module(_PACKAGE)
    child = importlib.import_module(_CHILD)
    assert isinstance(child, deferred_module.DeferredModule)
    assert package.util is child
    assert child.guess_scheme({}) == 'http'
    assert inspect.isfunction(sys.modules[_CHILD].guess_scheme)


def test_known_attributes_do_not_import(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a library that loads the module by naming its types."""
    deferred_module.defer_import(_NAME, known=7)
    module = importlib.import_module(_NAME)
    assert module.known == 7
    # Looking at all loaded modules, as inspect does, reads this attribute.
    assert not hasattr(module, '__file__')
    assert not capsys.readouterr().out


def test_unknown_attribute_is_an_error() -> None:
    """Guards against a missing attribute that ends in a recursion."""
    deferred_module.defer_import(_CHILD)
    module = importlib.import_module(_CHILD)
    with pytest.raises(AttributeError):
        getattr(module, 'missing')  # noqa: B009


def test_imported_module_is_kept() -> None:
    """Guards against a module that is replaced while others use it."""
    loaded = importlib.import_module(_CHILD)
    deferred_module.defer_import(_CHILD)
    assert importlib.import_module(_CHILD) is loaded
