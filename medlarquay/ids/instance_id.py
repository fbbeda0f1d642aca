"""Identifies a backend server instance and the node beside it."""

import typing

__all__ = ('InstanceId',)

InstanceId = typing.NewType('InstanceId', str)
