"""Fingerprint that identifies equal requests."""

import hashlib

from medlarquay import ids, messages

__all__ = ('fingerprint_of',)

_DIGEST_BYTES = 16


def fingerprint_of(
    request: messages.CallRequest,
    *,
    caller: bytes = b'',
) -> ids.Fingerprint:
    """Compute the fingerprint of a request.

    Parameters
    ----------
    request : CallRequest
        Request.
    caller : bytes
        Service that sent the request; empty if it does not matter or is not
        known.

    Returns
    -------
    Fingerprint
        BLAKE2b digest of team, service, method, target, caller and body; 16
        bytes.
    """
    head = b'%b\n%b\n%b\n%b\n%b\n' % (
        request.team.encode(),
        request.service.encode(),
        request.method,
        request.target,
        caller,
    )
    return ids.Fingerprint(
        hashlib.blake2b(
            head + request.body,
            digest_size=_DIGEST_BYTES,
        ).digest(),
    )
