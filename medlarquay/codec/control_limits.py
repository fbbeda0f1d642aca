"""Limits on the contents of control messages."""

from medlarquay import settings

__all__ = (
    'DIGEST_BYTES',
    'MAX_DOCUMENT_BYTES',
    'MAX_ENTRIES_BYTES',
    'MAX_MESSAGE_BYTES',
    'MAX_REVISION',
    'MAX_TEXT',
)

#: Length of a SHA-256 digest in bytes.
DIGEST_BYTES = 32
#: Largest team document in bytes.
MAX_DOCUMENT_BYTES = settings.MAX_DOCUMENT_BYTES
#: Largest total of the documents of one message in bytes. The sender ends a part
#: at 1 MiB, so older nodes send up to that beside a document.
MAX_MESSAGE_BYTES = MAX_DOCUMENT_BYTES + (1 << 20)
#: Largest total of the instance entries of one message in bytes; the sender
#: ends a part at 4,096 entries of about 200 bytes.
MAX_ENTRIES_BYTES = 1 << 22
#: Largest revision; the source counts in signed 64-bit integers.
MAX_REVISION = (1 << 63) - 1
#: Longest name, address or reason, in characters.
MAX_TEXT = 1024
