"""Compiled code of the methods that ``dataclasses`` generates."""

import dataclasses
import types
import zlib
from collections.abc import Mapping

__all__ = ('RecordingCompiler', 'forget', 'install')

# ``dataclasses`` executes the text of each method by the builtin of this name.
_HOOK = 'exec'
_CHECKSUM_BITS = 32


class RecordingCompiler:
    """Executes generated text and keeps its code, while a node is built."""

    def __init__(self) -> None:
        self.codes: dict[int, tuple[types.CodeType, int]] = {}

    def __call__(
        self,
        text: str,
        names: dict[str, object] | None = None,
        defined: dict[str, object] | None = None,
    ) -> None:
        """Compile and execute the text of generated methods."""
        code = compile(text, '<string>', 'exec')  # noqa: WPS421
        digest = _digest(text)
        _, uses = self.codes.get(digest, (code, 0))
        self.codes[digest] = (code, uses + 1)
        exec(code, names, defined)  # noqa: S102, WPS421


class _KnownCode:
    """Executes code that was compiled before, or else the text itself."""

    def __init__(
        self, *, codes: Mapping[int, tuple[types.CodeType, int]]
    ) -> None:
        self._codes = dict(codes)

    def __call__(
        self,
        text: str,
        names: dict[str, object] | None = None,
        defined: dict[str, object] | None = None,
    ) -> None:
        """Execute the text of generated methods."""
        digest = _digest(text)
        code, uses = self._codes.pop(digest, (text, 1))
        if uses > 1 and not isinstance(code, str):
            self._codes[digest] = (code, uses - 1)
        exec(code, names, defined)  # noqa: S102, WPS421


def install(
    codes: Mapping[int, tuple[types.CodeType, int]] | RecordingCompiler,
) -> None:
    """Let ``dataclasses`` use compiled code, or record what it compiles.

    Parameters
    ----------
    codes : Mapping or RecordingCompiler
        Code and number of uses, by the checksums of its text.

    Notes
    -----

    Compiling the methods of 230 dataclasses takes a quarter of the time in
    which a node imports its modules.
    """
    if isinstance(codes, RecordingCompiler):
        setattr(dataclasses, _HOOK, codes)  # noqa: B010
    else:
        setattr(dataclasses, _HOOK, _KnownCode(codes=codes))  # noqa: B010


def forget() -> None:
    """Free the compiled code, once all modules are imported."""
    dataclasses.__dict__.pop(_HOOK, None)


def _digest(text: str) -> int:
    # The texts themselves would take more memory than the code. A module of
    # hashes would load OpenSSL before the modules that are left out.
    encoded = text.encode()
    checksums = zlib.crc32(encoded) << _CHECKSUM_BITS | zlib.adler32(encoded)
    return len(encoded) << 2 * _CHECKSUM_BITS | checksums
