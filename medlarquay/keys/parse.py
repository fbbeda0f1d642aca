"""Parsing and issuing of idempotency keys."""

import secrets
import uuid

from medlarquay import errors, ids
from medlarquay.keys import bound_key, plain_key

__all__ = ('MAX_KEY_CHARACTERS', 'issue_key', 'parse_key')

# A bound key contains an instance id of up to 128 characters.
MAX_KEY_CHARACTERS = 256

_PREFIX = 'mq1'
_SEPARATOR = '.'
_UUID_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_VERSION_SHIFT_BITS = 76
_VARIANT_SHIFT_BITS = 62
_VARIANT = 2
_RANDOM_BITS = 62
_MS_PER_SECOND = 1000


def parse_key(text: str) -> bound_key.BoundKey | plain_key.PlainKey:
    """Parse the value of an ``Idempotency-Key`` header.

    Parameters
    ----------
    text : str
        Value of the header.

    Returns
    -------
    BoundKey or PlainKey
        A key with the prefix of issued keys is bound, any other is plain.

    Raises
    ------
    RequestError
        If the key is empty, too long or a malformed bound key.

    Examples
    --------
    >>> parse_key('order-17').created_at is None
    True
    """
    if not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise errors.RequestError(
            f'idempotency key of {len(text)} characters; '
            f'must have 1 to {MAX_KEY_CHARACTERS}',
            step='parse key',
        )
    key = ids.RequestKey(text)
    parts = text.split(_SEPARATOR)
    if parts[0] != _PREFIX:
        return plain_key.PlainKey(text=key, created_at=_creation_time(text))
    # An instance id may contain separators; an incarnation does not.
    created_at = _creation_time(parts[-1])
    if len(parts) < 4 or created_at is None:
        raise errors.RequestError('malformed bound key', step='parse key')
    return bound_key.BoundKey(
        text=key,
        instance=ids.InstanceId(_SEPARATOR.join(parts[1:-2])),
        incarnation=ids.Incarnation(parts[-2]),
        created_at=created_at,
    )


def issue_key(
    *,
    instance: ids.InstanceId,
    incarnation: ids.Incarnation,
    issued_at: float,
) -> ids.RequestKey:
    """Return a new bound key whose home is one incarnation of one node.

    Parameters
    ----------
    instance, incarnation : InstanceId, Incarnation
        Home of the key.
    issued_at : float
        Unix time in seconds. The home refuses a key that has no entry and is
        older than the retention of its ledger.

    Returns
    -------
    RequestKey
        Prefix, instance, incarnation and a UUID of version 7.
    """
    uuid_text = _new_uuid_text(issued_at)
    return ids.RequestKey(
        _SEPARATOR.join((_PREFIX, instance, incarnation, uuid_text)),
    )


def _new_uuid_text(issued_at: float) -> str:
    # ``uuid`` of the standard library has no version 7 before Python 3.14.
    bits = int(issued_at * _MS_PER_SECOND) << _TIMESTAMP_SHIFT_BITS
    bits |= _UUID_VERSION << _VERSION_SHIFT_BITS
    bits |= _VARIANT << _VARIANT_SHIFT_BITS
    bits |= secrets.randbits(_RANDOM_BITS)
    return str(uuid.UUID(int=bits))


def _creation_time(text: str) -> float | None:
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> _TIMESTAMP_SHIFT_BITS) / _MS_PER_SECOND
