"""Numbers the calls on one link; unique while the link lives."""

import typing

__all__ = ('CallId',)

CallId = typing.NewType('CallId', int)
