"""Numbers the connections of callers at one node."""

import typing

__all__ = ('CallerId',)

CallerId = typing.NewType('CallerId', int)
