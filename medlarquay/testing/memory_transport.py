"""Transport in memory with the TCP options that the protocols set."""

from twisted.internet import testing

__all__ = ('MemoryTransport',)


class MemoryTransport(testing.StringTransport):
    """Keeps written bytes and how the connection was closed."""

    def __init__(self) -> None:
        super().__init__()
        self._aborted = False

    @property
    def aborted(self) -> bool:
        """Whether the connection was closed without sending the rest."""
        return self._aborted

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept the option."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Accept the end of writing; a close follows."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the rest."""
        self._aborted = True
        super().abortConnection()
