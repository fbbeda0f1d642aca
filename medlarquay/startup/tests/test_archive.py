"""The archive of modules replaces the usual imports, or stays out of use."""

import importlib
import pathlib
import sys
from collections.abc import Iterator

import pytest

from medlarquay.startup import archive


@pytest.fixture(name='package')
def _package(tmp_path: pathlib.Path) -> Iterator[pathlib.Path]:
    place = tmp_path / 'packed_for_test'
    place.mkdir()
    (place / '__init__.py').write_text('from packed_for_test import part\n')
    (place / 'part.py').write_text('NUMBER = 7\n')
    (place / 'left_out.py').write_text('NUMBER = 8\n')
    sys.path.insert(0, str(tmp_path))
    finders = len(sys.meta_path)
    yield place
    if len(sys.meta_path) > finders:
        sys.meta_path.pop(0)
    sys.path.remove(str(tmp_path))
    _forget()


def _forget() -> None:
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
    target.write_bytes(archive.pack_modules(packed))
    _forget()
    return target


def test_modules_come_from_the_archive(package: pathlib.Path) -> None:
    """Guards against an archive that is never read."""
    target = _pack(package)
    (package / 'part.py').unlink()
    assert archive.install_archive(str(target))
    found = importlib.import_module('packed_for_test')
    assert found.part.NUMBER == 7
    # A module that is loaded later is found beside the others.
    later = importlib.import_module('packed_for_test.left_out')
    assert later.NUMBER == 8


def test_an_archive_of_another_release_is_left_alone(
    package: pathlib.Path,
) -> None:
    """Guards against code that this interpreter cannot run."""
    target = _pack(package)
    target.write_bytes(b'other' + target.read_bytes())
    assert not archive.install_archive(str(target))
    assert not archive.install_archive('/nowhere/archive')
