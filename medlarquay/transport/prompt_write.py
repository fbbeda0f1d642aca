"""Writing to a socket without waiting for a turn of the reactor."""

from twisted.internet import interfaces

__all__ = ('write_promptly',)


def write_promptly(transport: interfaces.ITransport, content: bytes) -> None:
    """Write to the socket at once if nothing waits to be written.

    Parameters
    ----------
    transport : ITransport
        Connection; one that cannot write at once buffers the content.
    content : bytes
        Bytes to write.

    Notes
    -----
    ``transport.write`` only buffers: the socket is registered for writing,
    written in the next turn of the reactor and unregistered again, which
    costs three system calls a write. See decision 0007.
    """
    sent = 0
    if _can_write_now(transport):
        written = transport.writeSomeData(content)
        # A lost connection is an exception; the reactor reports the loss.
        sent = written if isinstance(written, int) else 0
    if sent < len(content):
        transport.write(content[sent:] if sent else content)


def _can_write_now(transport: interfaces.ITransport) -> bool:
    if not hasattr(transport, 'writeSomeData') or not transport.connected:
        return False
    # Bytes that wait must go first, and a producer is asked for more only
    # after a buffered write.
    return not (
        transport.disconnecting
        or transport.producer
        or transport.dataBuffer
        or transport._tempDataBuffer  # noqa: SLF001
    )
