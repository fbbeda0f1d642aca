"""Hash that gives the position of a node in the distribution order."""

import functools
import hashlib

from medlarquay import ids

__all__ = ('order_hash',)

_HASH_BYTES = 8
# Twice the planned number of nodes; an entry costs about 100 bytes.
_CACHED_HASHES = 1 << 14


@functools.lru_cache(maxsize=_CACHED_HASHES)
def order_hash(instance: ids.InstanceId) -> ids.OrderHash:
    """Return the 64-bit hash by which nodes are ordered.

    The value depends on the id alone, so nodes with differing instance lists
    agree on the order of any two nodes.
    """
    digest = hashlib.sha256(instance.encode()).digest()
    return ids.OrderHash(int.from_bytes(digest[:_HASH_BYTES], 'big'))
