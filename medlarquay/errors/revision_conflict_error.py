"""Two different contents carry the same revision."""

from medlarquay.errors import medlarquay_error

__all__ = ('RevisionConflictError',)


class RevisionConflictError(medlarquay_error.MedlarquayError):
    """Two different contents carry the same revision."""
