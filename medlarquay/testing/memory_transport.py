"""In-memory transport with the TCP options that the protocols set."""

from twisted.internet import testing

__all__ = ('MemoryTransport',)


class MemoryTransport(testing.StringTransport):
    """In-memory transport that records whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self._aborted = False

    @property
    def aborted(self) -> bool:
        """Whether the connection was closed without sending all bytes."""
        return self._aborted

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept and ignore the option."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Do nothing: the protocols close the connection next."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the remaining bytes."""
        self._aborted = True
        super().abortConnection()
