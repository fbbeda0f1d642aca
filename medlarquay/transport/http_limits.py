"""Size limits of HTTP requests and answers."""

__all__ = (
    'MAX_ANSWER_BYTES',
    'MAX_BODY_BYTES',
    'MAX_FIELDS',
    'MAX_HEADER_BYTES',
)

MAX_HEADER_BYTES = 16384
MAX_FIELDS = 256
MAX_BODY_BYTES = 1 << 20
MAX_ANSWER_BYTES = 1 << 20
