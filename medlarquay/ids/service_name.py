"""Names a service within the tree; unique within its team."""

import typing

__all__ = ('ServiceName',)

ServiceName = typing.NewType('ServiceName', str)
