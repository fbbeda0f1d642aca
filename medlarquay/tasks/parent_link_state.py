"""State of the control link to one parent."""

import dataclasses
import math

from medlarquay import messages, replica, states, topology
from medlarquay.tasks import control_link

__all__ = ('SILENCE_TIMEOUT_S', 'STALE_AFTER_S', 'ParentLinkState')

#: A parent from which no bytes arrive for this long is given up, in seconds.
SILENCE_TIMEOUT_S = 1.5
#: A parent whose data was confirmed by the source longer ago is stale, in
#: seconds. At a reader the age rises to 2 s between two reads, and each level
#: of the distribution tree adds up to 0.5 s.
STALE_AFTER_S = 3.5
#: The same for a parent that reads the source itself, below which there is only
#: one level.
STALE_READER_AFTER_S = 3.0
# Longest time until a parent answers a probe, in seconds, before another one is
# looked for beside it.
_ANSWER_TIMEOUT_S = 0.5
# Longest time until a new parent sends its first bytes, in seconds: those of the
# handshake, two round trips after the connection attempt.
_FIRST_ANSWER_TIMEOUT_S = 0.6
# A parent may be behind or stale for this long, in seconds, because its own
# parent may just have failed.
_UNUSABLE_TIMEOUT_S = 2
# Answers to older probes are ignored.
_MAX_PENDING_PROBES = 8
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ParentLinkState:
    """State of the control link to one parent.

    Attributes
    ----------
    parent : topology.Peer
        Parent at the other end.
    must_be_fresh : bool
        Whether a parent is rejected if its data has no recent confirmation
        by the source.
    reads_source : bool
        Whether the parent is the node that reads the source for its region.
    silent_at : float
        Deadline for the next bytes from the parent, seconds on a clock that
        leaves out the pauses of this process.
    answer_due_at : float
        When the answer to the oldest unanswered probe is due, on the same
        clock; infinity if none is awaited.
    unusable_at : float
        Deadline for the next heartbeat that makes the parent usable, on the
        same clock.
    confirmed_at : float
        When the source confirmed the data of the parent, seconds on the
        monotonic clock; initially when the link began to be opened.
    link : control_link.ControlLink or None
        Link, once it is open.
    probes : dict of int to float
        When each unanswered probe was sent, by nonce, seconds on the
        monotonic clock.
    fault : states.ParentFault
        Reason that is reported if the link ends now.
    refetched_digest : bytes
        Digest of the parent for which all records were requested. They are
        requested once for each digest, because repeating the request does
        not resolve a conflict.
    fetching_all : bool
        Whether all records were requested and have not arrived.
    received_at, received_bytes : float, int
        When the latest frame arrived, seconds on the monotonic clock, and
        its length in bytes.
    """

    parent: topology.Peer
    must_be_fresh: bool
    silent_at: float
    unusable_at: float
    confirmed_at: float
    reads_source: bool = False
    answer_due_at: float = math.inf
    link: control_link.ControlLink | None = None
    probes: dict[int, float] = dataclasses.field(default_factory=dict)
    fault: states.ParentFault = states.ParentFault.CLOSED
    refetched_digest: bytes = b''
    fetching_all: bool = False
    received_at: float = 0
    received_bytes: int = 0

    @classmethod
    def start(
        cls,
        parent: topology.Peer,
        *,
        now: float,
        running_now: float,
    ) -> 'ParentLinkState':
        """Return the state of a link that is being opened.

        Parameters
        ----------
        parent : topology.Peer
            Parent that the link leads to.
        now : float
            Seconds on the monotonic clock.
        running_now : float
            Seconds on the clock that leaves out the pauses of this process.
        """
        return cls(
            parent=parent,
            must_be_fresh=False,
            silent_at=running_now + _FIRST_ANSWER_TIMEOUT_S,
            unusable_at=running_now + SILENCE_TIMEOUT_S + _UNUSABLE_TIMEOUT_S,
            confirmed_at=now,
        )

    def is_stale(self, *, now: float) -> bool:
        """Return whether the data of the parent was confirmed too long ago."""
        limit = STALE_READER_AFTER_S if self.reads_source else STALE_AFTER_S
        return now - self.confirmed_at > limit

    def is_unanswered(self, *, running_now: float) -> bool:
        """Return whether the parent owes an answer to a probe."""
        return running_now >= self.answer_due_at

    def confirm(self, confirmed_at: float) -> None:
        """Record when the source confirmed the data of the parent."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_probe(
        self, nonce: int, *, now: float, running_now: float
    ) -> None:
        """Record when a probe was sent."""
        self.probes[nonce] = now
        self.answer_due_at = min(
            self.answer_due_at, running_now + _ANSWER_TIMEOUT_S
        )
        while len(self.probes) > _MAX_PENDING_PROBES:
            self.probes.pop(next(iter(self.probes)))

    def record_bytes(self, *, running_now: float) -> None:
        """Extend the silence timeout, also for a part of a long message."""
        self.silent_at = running_now + SILENCE_TIMEOUT_S
        self.answer_due_at = math.inf

    def reset_after_pause(self, *, now: float, running_now: float) -> None:
        """Discard observations from before a pause of this process."""
        self.probes.clear()
        self.confirmed_at = now
        self.record_bytes(running_now=running_now)
        self.unusable_at = running_now + SILENCE_TIMEOUT_S + _UNUSABLE_TIMEOUT_S

    def check_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        local_vector: replica.VersionVector,
        *,
        running_now: float,
    ) -> bool:
        """Extend the timeouts; return whether the parent is usable.

        Parameters
        ----------
        heartbeat : messages.Heartbeat
            Answer of the parent to a probe.
        local_vector : replica.VersionVector
            Version vector of this node.
        running_now : float
            Seconds on the clock that leaves out the pauses of this process.
        """
        self.record_bytes(running_now=running_now)
        age_ms = heartbeat.age_ms
        fresh = age_ms is not None and age_ms <= STALE_AFTER_S * _MS_PER_SECOND
        if heartbeat.vector == replica.VersionVector():
            # Nodes that start together with each other as seeds would
            # otherwise follow one another and never learn of other nodes.
            self.fault = states.ParentFault.EMPTY
            return False
        if not heartbeat.vector.covers(local_vector):
            self.fault = states.ParentFault.BEHIND
            return False
        if self.must_be_fresh and not fresh:
            self.fault = states.ParentFault.NOT_FRESH
            return False
        self.fault = states.ParentFault.CLOSED
        self.unusable_at = running_now + _UNUSABLE_TIMEOUT_S
        return True
