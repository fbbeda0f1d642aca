"""Bodies of the platform's store and the values in them."""

import io
from typing import Any, Never

import cbor2

from medlarquay import errors

__all__ = ('decode_body',)

_STEP = 'decode body'
# The tags that the decoder interprets itself. References to values that came
# before would let a short body stand for one that fills the memory.
_KNOWN_TAGS = (
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
    """Return the value that a body holds.

    Parameters
    ----------
    content : bytes
        CBOR without tags.

    Raises
    ------
    SourceError
        If the body is truncated, malformed or too long, or has a tag.
    """
    try:
        return _decode(content)
    except Exception as cause:
        # Malformed bodies raise errors of several unrelated types.
        raise errors.SourceError(
            f'not CBOR: {cause}',
            step=_STEP,
        ) from cause


def _decode(content: bytes) -> Any:
    body = io.BytesIO(content)
    decoder = cbor2.CBORDecoder(
        body,
        tag_hook=_refuse_tag,
        semantic_decoders=_REFUSED,
        allow_duplicate_keys=False,
    )
    found = decoder.decode()
    if body.tell() < len(content):
        raise ValueError('bytes follow the value')
    return found


def _refuse_tag(*_: object) -> Never:
    raise ValueError('tags are not allowed')


_REFUSED = dict.fromkeys(_KNOWN_TAGS, _refuse_tag)
