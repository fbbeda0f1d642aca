"""Idempotency key: identifies a non-idempotent request across its attempts."""

import typing

__all__ = ('RequestKey',)

RequestKey = typing.NewType('RequestKey', str)
