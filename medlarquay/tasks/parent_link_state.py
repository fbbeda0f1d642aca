"""State of the control link to one parent."""

import dataclasses

from medlarquay import messages, replica, states, topology
from medlarquay.tasks import control_link

__all__ = ('SILENT_S', 'STALE_S', 'ParentLinkState')

#: A parent that answers no probe for this long counts as silent, in seconds.
SILENT_S = 1.5
#: A parent whose data was confirmed longer ago is stale, in seconds. At a
#: reader the age rises to 2 s between two reads, and by up to 0.5 s a level.
STALE_S = 3.5
# A parent may be behind or stale for this long, in seconds: its own parent
# may just have failed.
_USELESS_S = 2
# Answers to older probes are of no use.
_MAX_PROBES = 8
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ParentLinkState:
    """State of the control link to one parent.

    Attributes
    ----------
    parent : topology.Peer
        Parent at the other end.
    must_be_fresh : bool
        Whether a parent without a recent confirmation is of no use.
    silent_at : float
        When the parent counts as silent, seconds on a clock that leaves out
        the pauses of this process.
    useless_at : float
        When the parent counts as behind or stale, on the same clock.
    confirmed_at : float
        When the source confirmed what the parent holds, seconds on the
        monotonic clock; at first the time at which the link was begun.
    link : control_link.ControlLink or None
        Open link.
    probes : dict of int to float
        When each unanswered probe was sent, by nonce.
    fault : states.ParentFault
        Reported if the link ends now.
    refetched : bytes
        Digest for which all records were requested; they are requested once
        for each digest, because a conflict would not be resolved by more.
    fetching_all : bool
        Whether all records were requested and have not come.
    heard_at, heard_bytes : float, int
        Arrival of the latest frame, seconds on the monotonic clock, and its
        length.
    """

    parent: topology.Peer
    must_be_fresh: bool
    silent_at: float
    useless_at: float
    confirmed_at: float
    link: control_link.ControlLink | None = None
    probes: dict[int, float] = dataclasses.field(default_factory=dict)
    fault: states.ParentFault = states.ParentFault.CLOSED
    refetched: bytes = b''
    fetching_all: bool = False
    heard_at: float = 0
    heard_bytes: int = 0

    @classmethod
    def start(
        cls,
        parent: topology.Peer,
        *,
        now: float,
        running: float,
    ) -> 'ParentLinkState':
        """Return the state of a link that is being opened."""
        return cls(
            parent=parent,
            must_be_fresh=False,
            silent_at=running + SILENT_S,
            useless_at=running + SILENT_S + _USELESS_S,
            confirmed_at=now,
        )

    def is_stale(self, *, now: float) -> bool:
        """Return whether the parent holds what was confirmed too long ago."""
        return now - self.confirmed_at > STALE_S

    def confirm(self, confirmed_at: float) -> None:
        """Note when the source confirmed what the parent holds."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def note_probe(self, nonce: int, *, now: float) -> None:
        """Remember when a probe was sent."""
        self.probes[nonce] = now
        while len(self.probes) > _MAX_PROBES:
            self.probes.pop(next(iter(self.probes)))

    def note_bytes(self, *, running: float) -> None:
        """Note that the parent sends, however long a message takes."""
        self.silent_at = running + SILENT_S

    def expire(self, *, now: float, running: float) -> None:
        """Forget what was observed before a pause of this process."""
        self.probes.clear()
        self.confirmed_at = now
        self.silent_at = running + SILENT_S
        self.useless_at = running + SILENT_S + _USELESS_S

    def take_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        held: replica.VersionVector,
        *,
        running: float,
    ) -> bool:
        """Judge a heartbeat; return whether the parent is of use."""
        self.silent_at = running + SILENT_S
        age_ms = heartbeat.age_ms
        fresh = age_ms is not None and age_ms <= STALE_S * _MS_PER_SECOND
        if heartbeat.vector == replica.VersionVector():
            # Nodes that start together as each other's seeds would otherwise
            # follow one another and never learn of the others.
            self.fault = states.ParentFault.EMPTY
            return False
        if not heartbeat.vector.covers(held):
            self.fault = states.ParentFault.BEHIND
            return False
        if self.must_be_fresh and not fresh:
            self.fault = states.ParentFault.NOT_FRESH
            return False
        self.fault = states.ParentFault.CLOSED
        self.useless_at = running + _USELESS_S
        return True
