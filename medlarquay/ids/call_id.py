"""Number of a call on a link; unique for the lifetime of the link."""

import typing

__all__ = ('CallId',)

CallId = typing.NewType('CallId', int)
