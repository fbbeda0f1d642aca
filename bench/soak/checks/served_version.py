"""Answered request on a route of one document version."""

import dataclasses

from bench.soak import node_life

__all__ = ('ServedVersion',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServedVersion:
    """Answered request on a route that only one document version has.

    Attributes
    ----------
    life : NodeLife
        Lifetime of the node process that answered.
    version : int
        Version that has the route.
    sent_at, ended_at : float
        Unix times of the request and of its answer.
    """

    life: node_life.NodeLife
    version: int
    sent_at: float
    ended_at: float

    def reverted_by(self, other: 'ServedVersion') -> bool:
        """Return whether a later request was served by an older version.

        Only a request that was sent after the answer to this one counts.
        """
        return other.version < self.version and other.sent_at > self.ended_at
