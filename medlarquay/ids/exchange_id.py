"""Number of a request-response exchange with the local backend server."""

import typing

__all__ = ('ExchangeId',)

ExchangeId = typing.NewType('ExchangeId', int)
