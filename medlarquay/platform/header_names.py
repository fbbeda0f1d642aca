"""Names of the platform's header fields."""

from medlarquay import transport

__all__ = ('HEADER_NAMES',)

HEADER_NAMES = transport.HeaderNames(
    request_id=b'attempt-id',
    calling_service=b'caller-service',
    expected_instance=b'target-instance',
    not_run=b'not-processed',
    # The platform calls it a signature; it proves who made the answer.
    receipt=b'response-signature',
)
