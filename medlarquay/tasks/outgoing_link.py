"""State of a call link to the owner on another node."""

import dataclasses
import math

from medlarquay import events, ids, transport

__all__ = ('OutgoingLink',)

# A link on which nothing was heard for this long, while a call waits, is
# probed; a probe that is not answered for this long shows that it is cut off.
_SILENCE_S = 1
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

    Notes
    -----
    All times are seconds on a clock that leaves out the pauses of this
    process: what was not read in one is not the silence of the other side.
    """

    instance: ids.InstanceId
    number: ids.LinkId = ids.LinkId(0)
    link: transport.Link | None = None
    opening: transport.Link | None = None
    waiting: list[events.SendCall] = dataclasses.field(default_factory=list)
    notices: list[object] = dataclasses.field(default_factory=list)
    sent: dict[ids.CallId, float] = dataclasses.field(default_factory=dict)
    heard_at: float = 0
    probed_at: float = -math.inf

    def take_waiting(self, call_id: ids.CallId) -> events.SendCall | None:
        """Remove and return a call that waits for the link."""
        for call in self.waiting:
            if call.request.call_id == call_id:
                self.waiting.remove(call)
                return call
        return None

    def note_heard(self, now: float) -> None:
        """Note that bytes arrived."""
        self.heard_at = now

    def probe_if_silent(self, now: float) -> None:
        """Ask for a sign of life if a call waits and nothing was heard.

        Notes
        -----
        Silence alone proves nothing: large answers wait at their owner until
        its machine has sent those before them.
        """
        silent_since = now - _SILENCE_S
        oldest = min(self.sent.values(), default=math.inf)
        heard = max(oldest, self.heard_at) > silent_since
        if self.link is not None and not heard and not self._is_probed:
            self.probed_at = now
            self.link.ping()

    def is_cut_off(self, now: float) -> bool:
        """Tell whether a probe or the opening had no answer for too long."""
        if self.link is None:
            return self.heard_at <= now - _GREETING_S
        return self._is_probed and self.probed_at <= now - _SILENCE_S

    @property
    def _is_probed(self) -> bool:
        return self.probed_at > self.heard_at
