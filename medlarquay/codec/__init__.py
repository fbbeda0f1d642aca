"""Encoding and decoding of the messages between nodes as CBOR."""

from medlarquay.codec import control_encoding as _control_encoding
from medlarquay.codec.decode import MAX_FRAME_BYTES, decode
from medlarquay.codec.encode import encode
from medlarquay.codec.message_type import MessageType

__all__ = (
    'MAX_FRAME_BYTES',
    'MessageType',
    'decode',
    'encode',
    # Registers the encodings of control messages when it is imported.
    '_control_encoding',
)
