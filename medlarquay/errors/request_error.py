"""A request from a caller is malformed or too large."""

from medlarquay.errors import medlarquay_error

__all__ = ('RequestError',)


class RequestError(medlarquay_error.MedlarquayError):
    """A request from a caller is malformed or too large."""
