"""Compression of the documents in control messages."""

import zlib

from medlarquay import errors

__all__ = ('compress', 'decompress')

# Level 6 compresses a document of 5 KB in about 0.1 ms.
_LEVEL = 6
_STEP = 'decompress field'


def compress(content: bytes) -> bytes:
    """Return the compressed content; empty stays empty."""
    return zlib.compress(content, _LEVEL) if content else b''


def decompress(content: bytes, *, limit: int, peer: str) -> bytes:
    """Return the content, of at most a number of bytes.

    Raises
    ------
    DecodeError
        If the content is malformed, truncated or exceeds the limit. No more
        than the limit is ever held in memory.
    """
    if not content:
        return b''
    engine = zlib.decompressobj()
    try:
        whole = engine.decompress(content, limit + 1)
    except zlib.error as cause:
        raise errors.DecodeError(
            f'malformed compressed field: {cause}',
            step=_STEP,
            peer=peer,
        ) from cause
    if len(whole) > limit:
        raise errors.FrameTooLargeError(
            f'more than {limit} bytes after decompression',
            step=_STEP,
            peer=peer,
        )
    if not engine.eof or engine.unused_data:
        raise errors.DecodeError(
            'truncated or trailing compressed field',
            step=_STEP,
            peer=peer,
        )
    return whole
