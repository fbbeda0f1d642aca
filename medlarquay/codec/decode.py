"""Decoding of messages between nodes."""

from types import MappingProxyType

import cbor2

from medlarquay import errors
from medlarquay.codec import (
    call_decoders,
    control_decoders,
    field_reader,
    offer_decoders,
)

__all__ = ('MAX_FRAME_BYTES', 'decode')

# In bytes. The body of a call has at most 1 MB. So has a value of the source,
# and a document translated from it is compressed to about that size.
MAX_FRAME_BYTES = 1 << 21

_STEP = 'decode message'

_DECODERS = MappingProxyType({
    **call_decoders.DECODERS,
    **offer_decoders.DECODERS,
    **control_decoders.DECODERS,
})


def decode(frame: bytes, *, now: float, peer: str) -> object:
    """Decode one frame into a message.

    Parameters
    ----------
    frame : bytes
        Encoded CBOR array.
    now : float
        Seconds on the monotonic clock, to which the remaining milliseconds of
        a deadline are added.
    peer : str
        Peer that sent the frame, for errors.

    Returns
    -------
    object
        A message of ``medlarquay.messages``.

    Raises
    ------
    DecodeError
        If the frame is truncated, malformed or of an unknown type.
    FrameTooLargeError
        If the frame is longer than ``MAX_FRAME_BYTES``.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.FrameTooLargeError(
            f'frame of {len(frame)} bytes; at most {MAX_FRAME_BYTES}',
            step=_STEP,
            peer=peer,
        )
    reader = field_reader.FieldReader(
        fields=_load_array(frame, peer), peer=peer
    )
    decoder = _DECODERS.get(reader.take(int))
    if decoder is None:
        raise reader.error('is an unknown message type')
    message = decoder(reader, now)
    reader.expect_end()
    return message


def _load_array(frame: bytes, peer: str) -> list[object]:
    try:
        fields = cbor2.loads(frame)
    except Exception as cause:
        # Malformed tags raise errors of many types from other libraries.
        raise errors.DecodeError(
            f'frame is not CBOR: {cause}',
            step=_STEP,
            peer=peer,
        ) from cause
    if isinstance(fields, list):
        return fields
    raise errors.DecodeError('frame is not a CBOR array', step=_STEP, peer=peer)
