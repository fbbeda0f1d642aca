"""Numbers the exchanges with the local backend server."""

import typing

__all__ = ('ExchangeId',)

ExchangeId = typing.NewType('ExchangeId', int)
