"""What of a connection is not sent yet."""

import array
import fcntl
import termios

from twisted.internet import interfaces

__all__ = ('kernel_bytes', 'waiting_bytes')


def waiting_bytes(transport: interfaces.ITransport) -> int:
    """Return how many written bytes wait for the kernel to take them.

    Parameters
    ----------
    transport : ITransport
        Connection; one that does not buffer as a socket does has none.
    """
    buffered = getattr(transport, 'dataBuffer', None)
    if buffered is None:
        return 0
    waiting: int = len(buffered) - transport.offset + transport._tempDataLen  # noqa: SLF001
    return waiting


def kernel_bytes(transport: interfaces.ITransport) -> int | None:
    """Return how many bytes the kernel holds until they are acknowledged.

    Returns
    -------
    int or None
        None if the connection has no socket.

    Notes
    -----
    The request is ``SIOCOUTQ`` of tcp(7).
    """
    handle = getattr(transport, 'getHandle', None)
    if handle is None:
        return None
    found = array.array('i', (0,))
    try:
        fcntl.ioctl(handle(), termios.TIOCOUTQ, found)
    except (OSError, ValueError):
        # The socket is closed already.
        return None
    return found[0]
