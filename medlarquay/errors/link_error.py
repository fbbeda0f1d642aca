"""A link to another node failed."""

from medlarquay.errors import medlarquay_error

__all__ = ('LinkError',)


class LinkError(medlarquay_error.MedlarquayError):
    """A link to another node failed."""
