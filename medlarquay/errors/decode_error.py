"""A message from a peer could not be decoded."""

from medlarquay.errors import medlarquay_error

__all__ = ('DecodeError',)


class DecodeError(medlarquay_error.MedlarquayError):
    """A message from a peer could not be decoded."""
