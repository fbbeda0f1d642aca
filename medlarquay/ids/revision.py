"""Position in the sequence of changes of one source; larger is newer."""

import typing

__all__ = ('Revision',)

Revision = typing.NewType('Revision', int)
