"""Identifier of a backend server instance and of the node beside it."""

import typing

__all__ = ('InstanceId',)

InstanceId = typing.NewType('InstanceId', str)
