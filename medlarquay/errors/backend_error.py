"""The backend server failed or broke its protocol."""

from medlarquay.errors import medlarquay_error

__all__ = ('BackendError',)


class BackendError(medlarquay_error.MedlarquayError):
    """The backend server failed or broke its protocol."""
