"""Writing to a socket without waiting for an iteration of the reactor."""

import pytest

from medlarquay.transport import prompt_write


class _Connection:
    """Connection whose socket accepts some bytes at once, or fails."""

    def __init__(self, *, takes: int | Exception) -> None:
        self.connected = 1
        self.disconnecting = False
        self.producer = None
        self.dataBuffer = b''
        self._tempDataBuffer = []
        self.socket = b''
        self.buffered = b''
        self._takes = takes

    def writeSomeData(self, data: bytes) -> int | Exception:
        """Accept the first bytes, or return the error of a lost connection."""
        if isinstance(self._takes, int):
            self.socket += data[: self._takes]
            return min(self._takes, len(data))
        return self._takes

    def write(self, data: bytes) -> None:
        """Buffer bytes."""
        self.buffered += data


@pytest.mark.parametrize(
    ('takes', 'socket', 'buffered'),
    [
        (9, b'frame', b''),
        (2, b'fr', b'ame'),
        (0, b'', b'frame'),
        (ConnectionError(), b'', b'frame'),
    ],
)
def test_unsent_bytes_are_buffered(takes, socket, buffered) -> None:
    """Guards against a truncated frame when the socket is full or lost."""
    connection = _Connection(takes=takes)
    prompt_write.write_promptly(connection, b'frame')
    assert connection.socket == socket
    assert connection.buffered == buffered


@pytest.mark.parametrize(
    ('name', 'content'),
    [
        ('dataBuffer', b'earlier'),
        ('_tempDataBuffer', [b'earlier']),
        ('producer', object()),
        ('disconnecting', True),
        ('connected', 0),
    ],
)
def test_buffered_bytes_are_not_overtaken(name, content) -> None:
    """Guards against frames that overtake bytes buffered before them."""
    connection = _Connection(takes=9)
    setattr(connection, name, content)
    prompt_write.write_promptly(connection, b'frame')
    assert connection.socket == b''
    assert connection.buffered == b'frame'
