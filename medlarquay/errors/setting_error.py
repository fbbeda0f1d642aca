"""A setting of the process is missing or invalid."""

from medlarquay.errors import medlarquay_error

__all__ = ('SettingError',)


class SettingError(medlarquay_error.MedlarquayError):
    """A setting of the process is missing or invalid."""
