"""Digest of the service, method, path and body of a request."""

import typing

__all__ = ('Fingerprint',)

Fingerprint = typing.NewType('Fingerprint', bytes)
