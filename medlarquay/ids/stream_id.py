"""Numbers the large frames that one node sends in fragments."""

import typing

__all__ = ('StreamId',)

StreamId = typing.NewType('StreamId', int)
