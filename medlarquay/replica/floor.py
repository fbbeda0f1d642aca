"""Lowest version that a starting node may serve."""

from medlarquay import ids
from medlarquay.replica import version_vector

__all__ = ('FRESH_S', 'STARTUP_S', 'Floor')

#: Data counts as fresh for this long after a confirmation by the source, in
#: seconds.
FRESH_S = 5
#: Time for which a starting node waits for the source, in seconds.
STARTUP_S = 3


class Floor:
    """Lowest version that a starting node may serve.

    Parameters
    ----------
    peers : tuple of str
        Addresses of the peers that are asked for their version vectors.
    startup_deadline : float
        When the node may start to serve without the source, in seconds on
        the monotonic clock.

    Notes
    -----
    A node persists nothing, so after a restart it does not know the version
    that it served before. Its peers hold at least the version that this node
    received from them or sent to them, unless it was partitioned from all of
    them.
    """

    def __init__(
        self,
        *,
        peers: tuple[str, ...],
        startup_deadline: float,
    ) -> None:
        self._startup_deadline = startup_deadline
        self._pending = set(peers)
        self._answers = 0
        self._floor = version_vector.VersionVector()
        self._reached = False

    @property
    def floor(self) -> version_vector.VersionVector:
        """Join of the vectors that peers reported."""
        return self._floor

    def record_answer(
        self, peer: str, vector: version_vector.VersionVector
    ) -> None:
        """Record the version vector that a peer reported."""
        self._pending.discard(peer)
        self._answers += 1
        if not self._reached:
            self._floor = self._floor.join(vector)

    def record_failure(self, peer: str) -> None:
        """Record that a peer did not answer."""
        self._pending.discard(peer)

    def may_serve(
        self,
        *,
        held: version_vector.VersionVector,
        has_document: bool,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Return whether the node may serve what it holds.

        Once true, the result stays true: the version of the replica never
        decreases, so a node that has served may continue without the source.

        Parameters
        ----------
        held : VersionVector
            Version vector that the node holds.
        has_document : bool
            Whether the node holds an accepted document. Without one it knows
            no configuration, also if it has read the newest version and
            rejected it.
        confirmed_at : float
            Latest time at which that version was current, in seconds on the
            monotonic clock; -inf if unknown.
        now : float
            Seconds on the monotonic clock.
        """
        if self._reached:
            return True
        fresh = now - confirmed_at <= FRESH_S
        # Without a confirmation by the startup deadline the source counts as
        # unreachable, and the newest version of the peers is the best one
        # available.
        timed_out = now >= self._startup_deadline and self._answers > 0
        is_configured = has_document and held.tree_revision > ids.Revision(0)
        self._reached = (
            is_configured
            and held.covers(self._floor)
            and not self._pending
            and (fresh or timed_out)
        )
        return self._reached
