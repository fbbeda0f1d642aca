"""Identifies a non-idempotent request across a caller's attempts."""

import typing

__all__ = ('RequestKey',)

RequestKey = typing.NewType('RequestKey', str)
