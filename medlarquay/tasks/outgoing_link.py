"""State of a call link to the owner on another node."""

import dataclasses
import math

from medlarquay import events, ids, transport

__all__ = ('OutgoingLink',)

# A link on which nothing was heard for this long, while a call waits, is
# probed. The other side answers at once, in 60 ms from another region.
_PROBE_AFTER_S = 0.25
# After a probe that is not answered for this long other owners go first;
# long turns of the event loop there and a slow link stay below it.
_SILENT_AFTER_S = 0.35
# After this long the link is taken for cut off.
_CUT_OFF_AFTER_S = 1.75
# A link that was not greeted for this long leads to a process that is paused
# or cut off; one of these seconds is for the connection.
_GREETING_S = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingLink:
    """State of a call link to the owner on another node.

    Attributes
    ----------
    instance : InstanceId
        Owner at the other end.
    number : LinkId
        Number of the link at this node.
    link : Link or None
        The open link; None until the other side has greeted.
    opening : Link or None
        The link from the beginning.
    waiting : list of SendCall
        Calls to send once the link is open.
    notices : list of object
        Messages without an answer to send once the link is open.
    sent : dict of CallId to float
        Calls whose last byte was written and that were not answered yet,
        with that time.
    heard_at : float
        Time at which the link was begun, or bytes were last received, also a
        part of a frame.
    probed_at : float
        Time of the last probe.
    silent : bool
        Whether the router was told that a probe is not answered.

    Notes
    -----
    All times are seconds on a clock that leaves out the pauses of this
    process: what was not read in one is not the silence of the other side.
    """

    instance: ids.InstanceId
    number: ids.LinkId = ids.LinkId(0)
    link: transport.Link | None = None
    connection: transport.Link | None = None
    waiting: list[events.SendCall] = dataclasses.field(default_factory=list)
    notices: list[object] = dataclasses.field(default_factory=list)
    sent: dict[ids.CallId, float] = dataclasses.field(default_factory=dict)
    heard_at: float = 0
    probed_at: float = -math.inf
    silent: bool = False

    def pop_waiting(self, call_id: ids.CallId) -> events.SendCall | None:
        """Remove and return a call that waits for the link."""
        for call in self.waiting:
            if call.request.call_id == call_id:
                self.waiting.remove(call)
                return call
        return None

    def note_heard(self, now: float) -> None:
        """Note that bytes arrived."""
        self.heard_at = now

    def probe_if_silent(self, now: float, leaving_since: float) -> None:
        """Ask for a sign of life if a call waits and nothing was heard.

        Parameters
        ----------
        now : float
            Present time.
        leaving_since : float
            Since when calls are on their way; infinity if none is.

        Notes
        -----
        Silence alone proves nothing: large answers wait at their owner until
        its machine has sent those before them.
        """
        if self.link is None or self._is_probed:
            return
        oldest = min((*self.sent.values(), leaving_since))
        if max(oldest, self.heard_at) <= now - _PROBE_AFTER_S:
            self.probed_at = now
            self.link.ping()

    def mark_silent(self, now: float) -> bool:
        """Tell once that a probe was not answered for some time."""
        due = self._is_probed and self.probed_at <= now - _SILENT_AFTER_S
        found = due and not self.silent
        self.silent = self.silent or due
        return found

    def clear_silent(self) -> bool:
        """Tell once that the other side sends again."""
        found = self.silent
        self.silent = False
        return found

    def is_cut_off(self, now: float) -> bool:
        """Tell whether a probe or the opening had no answer for too long."""
        if self.link is None:
            return self.heard_at <= now - _GREETING_S
        return self._is_probed and self.probed_at <= now - _CUT_OFF_AFTER_S

    @property
    def _is_probed(self) -> bool:
        return self.probed_at > self.heard_at
