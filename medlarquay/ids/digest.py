"""SHA-256 digest of the canonical content of a document."""

import typing

__all__ = ('Digest',)

Digest = typing.NewType('Digest', bytes)
