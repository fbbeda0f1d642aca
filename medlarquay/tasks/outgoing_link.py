"""State of a call link to the owner on another node."""

import dataclasses
import math

from medlarquay import events, ids, transport

__all__ = ('OutgoingLink',)

# A link is probed if nothing was received for this long while a call waits.
# The other side answers a probe at once, in 60 ms from another region.
_PROBE_AFTER_S = 0.25
# If a probe is not answered for this long, other owners are preferred. Long
# iterations of the event loop of the other side, and a slow link, take less.
_SILENT_AFTER_S = 0.35
# If a probe is not answered for this long, the link counts as cut off.
_CUT_OFF_AFTER_S = 1.75
# If no ``Hello`` arrives for this long, the process at the other end is paused
# or cut off. One of these seconds is the timeout for connecting.
_GREETING_S = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingLink:
    """State of a call link to the owner on another node.

    Attributes
    ----------
    instance : InstanceId
        Owner at the other end.
    number : LinkId
        Number of the link, unique within this node.
    link : Link or None
        The open link; None until the ``Hello`` of the other side arrived.
    connection : Link or None
        The same link, set as soon as the connection attempt starts.
    waiting : list of SendCall
        Calls to send once the link is open.
    notices : list of object
        One-way messages to send once the link is open.
    offered : set of CallId
        Calls that were offered and not granted or refused yet.
    sent : dict of CallId to float
        Calls that were written completely and not answered yet, with the time
        at which the last byte was written.
    data_arrived_at : float
        Time at which bytes were last received, even if only part of a frame;
        at first the time at which the connection attempt started.
    probed_at : float
        Time of the last probe.
    silent : bool
        Whether the router was notified that a probe is not answered.

    Notes
    -----
    All times are seconds on a clock that excludes the pauses of this process:
    bytes that were not read during a pause do not mean that the other side is
    silent.
    """

    instance: ids.InstanceId
    number: ids.LinkId = ids.LinkId(0)
    link: transport.Link | None = None
    connection: transport.Link | None = None
    waiting: list[events.SendCall] = dataclasses.field(default_factory=list)
    notices: list[object] = dataclasses.field(default_factory=list)
    offered: set[ids.CallId] = dataclasses.field(default_factory=set)
    sent: dict[ids.CallId, float] = dataclasses.field(default_factory=dict)
    data_arrived_at: float = 0
    probed_at: float = -math.inf
    silent: bool = False

    def pop_waiting(self, call_id: ids.CallId) -> events.SendCall | None:
        """Remove and return a call that waits for the link to open."""
        for call in self.waiting:
            if call.request.call_id == call_id:
                self.waiting.remove(call)
                return call
        return None

    def note_data_arrived(self, now: float) -> None:
        """Record that bytes arrived."""
        self.data_arrived_at = now

    def probe_if_silent(self, now: float, unsent_since: float) -> None:
        """Send a probe if a call waits and nothing was received for a while.

        Parameters
        ----------
        now : float
            Current time in seconds.
        unsent_since : float
            Time since which the link has had unsent calls; infinity if it
            has none.

        Notes
        -----
        An inactive link alone is no sign of a failure: a large answer waits at
        its owner until its machine has sent the answers before it.
        """
        if self.link is None or self._is_probed:
            return
        oldest = min((*self.sent.values(), unsent_since))
        if max(oldest, self.data_arrived_at) <= now - _PROBE_AFTER_S:
            self.probed_at = now
            self.link.ping()

    def mark_silent(self, now: float) -> bool:
        """Mark the link silent if a probe was not answered for too long.

        Returns
        -------
        bool
            Whether the link was not marked silent before.
        """
        overdue = self._is_probed and self.probed_at <= now - _SILENT_AFTER_S
        newly_silent = overdue and not self.silent
        self.silent = self.silent or overdue
        return newly_silent

    def clear_silent(self) -> bool:
        """Clear the silent mark; return whether it was set."""
        was_silent = self.silent
        self.silent = False
        return was_silent

    def is_cut_off(self, now: float) -> bool:
        """Return whether a probe or the opening had no answer for too long."""
        if self.link is None:
            return self.data_arrived_at <= now - _GREETING_S
        return self._is_probed and self.probed_at <= now - _CUT_OFF_AFTER_S

    @property
    def _is_probed(self) -> bool:
        return self.probed_at > self.data_arrived_at
