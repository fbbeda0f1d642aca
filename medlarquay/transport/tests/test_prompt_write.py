"""Writing without a turn of the reactor."""

import pytest

from medlarquay.transport import prompt_write


class _Connection:
    """Connection whose socket takes some bytes at once."""

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
        """Take the first bytes, or fail."""
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
def test_rest_is_buffered(takes, socket, buffered) -> None:
    """Guards against a frame cut short when the socket is full or lost."""
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
def test_earlier_bytes_go_first(name, content) -> None:
    """Guards against frames that overtake bytes written before them."""
    connection = _Connection(takes=9)
    setattr(connection, name, content)
    prompt_write.write_promptly(connection, b'frame')
    assert connection.socket == b''
    assert connection.buffered == b'frame'
