"""Number of a large frame that a node sends in fragments; unique per node."""

import typing

__all__ = ('StreamId',)

StreamId = typing.NewType('StreamId', int)
