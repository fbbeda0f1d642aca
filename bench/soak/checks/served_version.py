"""A request that only one version serves."""

import dataclasses

from bench.soak import node_life

__all__ = ('ServedVersion',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServedVersion:
    """A request that only one version serves.

    Attributes
    ----------
    life : NodeLife
        Lifetime of the node that served it.
    version : int
        Version.
    sent_at, ended_at : float
        Unix times of the request and of its answer.
    """

    life: node_life.NodeLife
    version: int
    sent_at: float
    ended_at: float

    def reverted_by(self, other: 'ServedVersion') -> bool:
        """Return whether another request shows an older version later."""
        return other.version < self.version and other.sent_at > self.ended_at
