"""Name of a route: its host and path prefix."""

import typing

__all__ = ('RouteName',)

RouteName = typing.NewType('RouteName', str)
