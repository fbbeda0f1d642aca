"""Base class of the exception hierarchy."""

__all__ = ('MedlarquayError',)


class MedlarquayError(Exception):
    """Base class of all errors of the system.

    Parameters
    ----------
    message : str
        Description of the error.
    step : str
        Operation that failed, such as ``decode frame``.
    peer : str
        Address, instance or document path that the error is about; empty if
        there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self._step = step
        self._peer = peer

    @property
    def step(self) -> str:
        """Operation that failed."""
        return self._step

    @property
    def peer(self) -> str:
        """Address, instance or document path, or an empty string."""
        return self._peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        message = super().__str__()
        if self._peer:
            return f'{message} (step: {self._step}, peer: {self._peer})'
        return f'{message} (step: {self._step})'
