"""Position of a node in the distribution order; smaller is nearer the source."""

import typing

__all__ = ('OrderHash',)

OrderHash = typing.NewType('OrderHash', int)
