"""Position of a node in the distribution order; smaller is nearer the source."""

import typing

__all__ = ('NodeRank',)

NodeRank = typing.NewType('NodeRank', int)
