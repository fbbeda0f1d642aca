"""A message from a peer exceeds the size limit."""

from medlarquay.errors import decode_error

__all__ = ('FrameTooLargeError',)


class FrameTooLargeError(decode_error.DecodeError):
    """A message from a peer exceeds the size limit."""
