"""Watch over the call links whose other side may be silent."""

import math
from collections.abc import Callable, Iterable

from medlarquay import events
from medlarquay.tasks import outgoing_link, unsent_calls

__all__ = ('SilenceWatch',)

_Sign = events.PeerSilent | events.PeerHeard


class SilenceWatch:
    """Probes links on which calls wait and tells of owners that are silent.

    Parameters
    ----------
    leaving : UnsentCalls
        Large calls that are on their way.
    clock : callable
        Returns seconds without the pauses of this process.
    tell : callable
        Receives ``PeerSilent`` and ``PeerHeard``.
    """

    def __init__(
        self,
        *,
        leaving: unsent_calls.UnsentCalls,
        clock: Callable[[], float],
        tell: Callable[[_Sign], None],
    ) -> None:
        self._leaving = leaving
        self._clock = clock
        self._tell = tell

    def now(self) -> float:
        """Return seconds without the pauses of this process."""
        return self._clock()

    def is_cut_off(self, outgoing: outgoing_link.OutgoingLink) -> bool:
        """Tell whether a connected link leads to no running process."""
        link = outgoing.opening
        # An attempt to connect ends by its own timeout.
        if link is None or link.transport is None:
            return False
        return outgoing.is_cut_off(self._clock())

    def watched(
        self,
        links: Iterable[outgoing_link.OutgoingLink],
    ) -> list[outgoing_link.OutgoingLink]:
        """Return the links that have to be checked again soon."""
        return [
            found
            for found in links
            if self.in_use(found) or found.silent or found.link is None
        ]

    def in_use(self, outgoing: outgoing_link.OutgoingLink) -> bool:
        """Tell whether a call is on its way or waits for its answer."""
        leaving = self._leaving.begun_at(outgoing.number) < math.inf
        return leaving or bool(outgoing.sent)

    def probe(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Probe a link that is silent; tell once if it stays silent."""
        now = self._clock()
        outgoing.probe_if_silent(now, self._leaving.begun_at(outgoing.number))
        if outgoing.becomes_silent(now):
            self._tell(events.PeerSilent(instance=outgoing.instance))

    def note_heard(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Note that bytes of an owner arrived."""
        outgoing.note_heard(self._clock())
        if outgoing.becomes_heard():
            self._tell(events.PeerHeard(instance=outgoing.instance))
