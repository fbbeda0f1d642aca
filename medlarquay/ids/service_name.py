"""Name of a service in the settings tree; unique within its team."""

import typing

__all__ = ('ServiceName',)

ServiceName = typing.NewType('ServiceName', str)
