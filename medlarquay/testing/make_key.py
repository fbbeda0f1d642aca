"""Generation of idempotency keys for callers."""

import random
import uuid

__all__ = ('make_key',)

_MS_PER_SECOND = 1000
_TIME_SHIFT = 80
_VERSION_SHIFT = 76
_VARIANT_SHIFT = 62
_VERSION = 7
_VARIANT = 2
_FIRST_RANDOM_BITS = 12
_SECOND_RANDOM_BITS = 62


def make_key(*, unix_time: float, randomness: random.Random) -> str:
    """Return an idempotency key: a UUIDv7 (RFC 9562, section 5.7).

    Parameters
    ----------
    unix_time : float
        Creation time in seconds; the key contains it in milliseconds.
    randomness : random.Random
        Generator of the random part.
    """
    number = int(unix_time * _MS_PER_SECOND) << _TIME_SHIFT
    number |= _VERSION << _VERSION_SHIFT
    number |= randomness.getrandbits(_FIRST_RANDOM_BITS) << 64
    number |= _VARIANT << _VARIANT_SHIFT
    number |= randomness.getrandbits(_SECOND_RANDOM_BITS)
    return str(uuid.UUID(int=number))
