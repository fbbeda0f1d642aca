"""The rule by which a starting node may begin to serve."""

from medlarquay import ids
from medlarquay.replica import version_vector

__all__ = ('FRESH_S', 'STARTUP_S', 'Floor')

#: A confirmation by the source is relied on for this long, in seconds.
FRESH_S = 5
#: A starting node waits this long for the source, in seconds.
STARTUP_S = 3


class Floor:
    """The lowest version that a starting node may serve.

    Parameters
    ----------
    peers : tuple of str
        Addresses of the peers that the node asks for their versions.
    startup_deadline : float
        When the node may begin without the source, in seconds on the
        monotonic clock.

    Notes
    -----
    A node keeps nothing across a restart, so it cannot know the version it
    served before. Its peers can: what they hold is at least as new as what
    this node passed on or was given, unless it was partitioned from all.
    """

    def __init__(
        self,
        *,
        peers: tuple[str, ...],
        startup_deadline: float,
    ) -> None:
        self._startup_deadline = startup_deadline
        self._unheard = set(peers)
        self._answered = 0
        self._floor = version_vector.VersionVector()
        self._reached = False

    @property
    def floor(self) -> version_vector.VersionVector:
        """Join of the vectors that peers reported."""
        return self._floor

    def record_answer(
        self, peer: str, vector: version_vector.VersionVector
    ) -> None:
        """Take the vector that a peer holds."""
        self._unheard.discard(peer)
        self._answered += 1
        if not self._reached:
            self._floor = self._floor.join(vector)

    def record_failure(self, peer: str) -> None:
        """Note that a peer could not be asked."""
        self._unheard.discard(peer)

    def may_serve(
        self,
        *,
        held: version_vector.VersionVector,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Return whether the node may serve what it holds.

        Once true it stays true: the replica only rises, so a node that
        served may go on serving without the source.

        Parameters
        ----------
        held : VersionVector
            What the node holds.
        confirmed_at : float
            Latest time at which it was current; -inf if unknown.
        now : float
            Seconds on the monotonic clock.
        """
        if self._reached:
            return True
        fresh = now - confirmed_at <= FRESH_S
        # Without a confirmation by the startup deadline the source is
        # unreachable, and what the peers hold is the best there is.
        late = now >= self._startup_deadline and self._answered > 0
        self._reached = (
            held.tree_revision > ids.Revision(0)
            and held.covers(self._floor)
            and not self._unheard
            and (fresh or late)
        )
        return self._reached
