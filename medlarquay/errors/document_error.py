"""An operators' document breaks a rule of the schema."""

from medlarquay.errors import medlarquay_error

__all__ = ('DocumentError',)


class DocumentError(medlarquay_error.MedlarquayError):
    """An operators' document breaks a rule of the schema."""
