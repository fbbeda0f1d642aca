"""64-bit hash that orders the nodes for distribution.

A node with a smaller hash is nearer the source.
"""

import typing

__all__ = ('OrderHash',)

OrderHash = typing.NewType('OrderHash', int)
