"""Imports from the archive of modules, and fallback to the file system."""

import importlib
import pathlib
import sys
from collections.abc import Iterator

import pytest

from medlarquay.startup import archive, generated_code, pack


@pytest.fixture(name='package')
def _package(tmp_path: pathlib.Path) -> Iterator[pathlib.Path]:
    directory = tmp_path / 'packed_for_test'
    directory.mkdir()
    (directory / '__init__.py').write_text('from packed_for_test import part\n')
    (directory / 'part.py').write_text('NUMBER = 7\n')
    (directory / 'left_out.py').write_text('NUMBER = 8\n')
    sys.path.insert(0, str(tmp_path))
    finders = len(sys.meta_path)
    yield directory
    if len(sys.meta_path) > finders:
        sys.meta_path.pop(0)
    sys.path.remove(str(tmp_path))
    generated_code.forget()
    _unload_package()


def _unload_package() -> None:
    names = tuple(name for name in sys.modules if 'packed_for_test' in name)
    for name in names:
        sys.modules.pop(name)


def _pack(package: pathlib.Path) -> pathlib.Path:
    importlib.import_module('packed_for_test')
    packed = [
        module
        for name, module in sys.modules.items()
        if 'packed_for_test' in name
    ]
    target = package.parent / 'archive'
    target.write_bytes(pack.pack_modules(packed, generated={}))
    _unload_package()
    return target


def test_modules_are_loaded_from_archive(package: pathlib.Path) -> None:
    """Guards against modules that are still read from their files."""
    target = _pack(package)
    (package / 'part.py').unlink()
    assert archive.install_archive(str(target))
    imported = importlib.import_module('packed_for_test')
    assert imported.part.NUMBER == 7
    # A submodule that is not archived is found in the package directory.
    later = importlib.import_module('packed_for_test.left_out')
    assert later.NUMBER == 8


def test_archive_of_other_release_is_ignored(
    package: pathlib.Path,
) -> None:
    """Guards against a start with incompatible bytecode or no archive."""
    target = _pack(package)
    target.write_bytes(b'other' + target.read_bytes())
    assert not archive.install_archive(str(target))
    assert not archive.install_archive('/nowhere/archive')
