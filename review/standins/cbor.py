"""Minimal CBOR encoder for the store's bodies (RFC 8949, no tags)."""

import struct


def dumps(value):
    """Encode None, bool, int, float, str, bytes, list and dict."""
    if value is None:
        return b'\xf6'
    if value is True:
        return b'\xf5'
    if value is False:
        return b'\xf4'
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b'\xfb' + struct.pack('>d', value)
    if isinstance(value, bytes):
        return _head(2, len(value)) + value
    if isinstance(value, str):
        encoded = value.encode()
        return _head(3, len(encoded)) + encoded
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b''.join(map(dumps, value))
    return _head(5, len(value)) + b''.join(
        dumps(name) + dumps(item) for name, item in value.items()
    )


def _head(major, number):
    if number < 24:
        return bytes([major << 5 | number])
    for code, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if number < 1 << 8 * size:
            return bytes([major << 5 | code]) + number.to_bytes(size, 'big')
    raise ValueError('number too large')
