"""Decoding of bodies and values of the platform's store."""

import io
from typing import Any, Never

import cbor2

from medlarquay import errors

__all__ = ('decode_body',)

_STEP = 'decode body'
# Tags that cbor2 decodes by itself; all are rejected. References to earlier
# values would let a short body expand until it fills the memory.
_BUILT_IN_TAGS = (
    *range(6),
    25,
    28,
    29,
    30,
    35,
    36,
    37,
    52,
    54,
    100,
    256,
    258,
    260,
    261,
    1004,
    43000,
    55799,
)


def decode_body(content: bytes) -> Any:
    """Decode the CBOR value of a body.

    Parameters
    ----------
    content : bytes
        CBOR without tags.

    Raises
    ------
    SourceError
        If the body is truncated or malformed, has bytes after the value, or
        contains a tag.
    """
    try:
        return _decode(content)
    except Exception as cause:
        # cbor2 raises errors of several unrelated types for malformed bodies.
        raise errors.SourceError(
            f'not CBOR: {cause}',
            step=_STEP,
        ) from cause


def _decode(content: bytes) -> Any:
    body = io.BytesIO(content)
    decoder = cbor2.CBORDecoder(
        body,
        tag_hook=_refuse_tag,
        semantic_decoders=_REFUSING_DECODERS,
        allow_duplicate_keys=False,
    )
    decoded = decoder.decode()
    if body.tell() < len(content):
        raise ValueError('bytes follow the value')
    return decoded


def _refuse_tag(*_: object) -> Never:
    raise ValueError('tags are not allowed')


_REFUSING_DECODERS = dict.fromkeys(_BUILT_IN_TAGS, _refuse_tag)
