"""The configuration service could not be read."""

from medlarquay.errors import medlarquay_error

__all__ = ('SourceError',)


class SourceError(medlarquay_error.MedlarquayError):
    """The configuration service could not be read."""
