"""Home of a plain key, found by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from medlarquay import ids

__all__ = ('home_of',)


def home_of(
    key: ids.RequestKey,
    instances: Iterable[ids.InstanceId],
) -> ids.InstanceId | None:
    """Return the home of a plain key: the instance with the largest weight.

    The weights are those of rendezvous hashing [1]_.

    Parameters
    ----------
    key : RequestKey
        Plain key.
    instances : iterable of InstanceId
        Backend servers of the service, live and leaving.

    Returns
    -------
    InstanceId or None
        Instance of the home; None if there is no backend server.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking, 1998.
    """
    return max(
        instances, key=lambda instance: _weight(key, instance), default=None
    )


def _weight(key: ids.RequestKey, instance: ids.InstanceId) -> bytes:
    return hashlib.blake2b(
        f'{key}|{instance}'.encode(),
        digest_size=8,
    ).digest()
