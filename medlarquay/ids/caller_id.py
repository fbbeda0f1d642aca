"""Number of a connection from a caller to a node."""

import typing

__all__ = ('CallerId',)

CallerId = typing.NewType('CallerId', int)
