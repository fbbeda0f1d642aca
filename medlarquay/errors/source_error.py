"""The configuration service failed or sent something malformed."""

from medlarquay.errors import medlarquay_error

__all__ = ('SourceError',)


class SourceError(medlarquay_error.MedlarquayError):
    """The configuration service failed or sent something malformed.

    Parameters
    ----------
    message, step, peer : str
        As in ``MedlarquayError``.
    status : int
        HTTP status of the refusal; 0 if there was no answer.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        status: int = 0,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self._status = status

    @property
    def status(self) -> int:
        """HTTP status of the refusal; 0 if there was no answer."""
        return self._status
