"""Sizes of the send buffers of a connection, in the node and in the kernel."""

import array
import fcntl
import termios

from twisted.internet import interfaces

__all__ = ('kernel_bytes', 'waiting_bytes')


def waiting_bytes(transport: interfaces.ITransport) -> int:
    """Return how many written bytes the kernel has not accepted yet.

    Parameters
    ----------
    transport : ITransport
        Connection; the result is 0 if it has no send buffer of its own.
    """
    buffered = getattr(transport, 'dataBuffer', None)
    if buffered is None:
        return 0
    waiting: int = len(buffered) - transport.offset + transport._tempDataLen  # noqa: SLF001
    return waiting


def kernel_bytes(transport: interfaces.ITransport) -> int | None:
    """Return how many bytes in the kernel the peer has not acknowledged.

    Returns
    -------
    int or None
        None if the connection has no socket or is closed.

    Notes
    -----
    Uses the ioctl request ``SIOCOUTQ`` of tcp(7).
    """
    handle = getattr(transport, 'getHandle', None)
    if handle is None:
        return None
    queued = array.array('i', (0,))
    try:
        fcntl.ioctl(handle(), termios.TIOCOUTQ, queued)
    except (OSError, ValueError):
        # The socket is closed already.
        return None
    return queued[0]
