"""Position of a node in the distribution order."""

import functools
import hashlib

from medlarquay import ids

__all__ = ('rank_value',)

_BYTES = 8
# Twice the planned number of nodes; an entry costs about 100 bytes.
_CACHED = 1 << 14


@functools.lru_cache(maxsize=_CACHED)
def rank_value(instance: ids.InstanceId) -> ids.NodeRank:
    """Return the 64-bit hash by which nodes are ordered.

    The value depends on the id alone, so nodes with differing lists agree on
    the order of any two nodes.
    """
    hashed = hashlib.sha256(instance.encode()).digest()
    return ids.NodeRank(int.from_bytes(hashed[:_BYTES], 'big'))
