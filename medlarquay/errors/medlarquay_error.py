"""Root of the exception tree."""

__all__ = ('MedlarquayError',)


class MedlarquayError(Exception):
    """Base of all errors of the system.

    Parameters
    ----------
    message : str
        What went wrong.
    step : str
        The step at which the error arose, such as ``decode frame``.
    peer : str
        The peer involved (an address, an instance or a document path);
        empty when there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self._step = step
        self._peer = peer

    @property
    def step(self) -> str:
        """Step at which the error arose."""
        return self._step

    @property
    def peer(self) -> str:
        """Peer involved, or an empty string."""
        return self._peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        message = super().__str__()
        if self._peer:
            return f'{message} (step: {self._step}, peer: {self._peer})'
        return f'{message} (step: {self._step})'
