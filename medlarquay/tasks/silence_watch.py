"""Liveness checks of the call links to other nodes."""

import math
from collections.abc import Callable, Iterable

from medlarquay import events
from medlarquay.tasks import outgoing_link, unsent_calls

__all__ = ('SilenceWatch',)

_SilenceEvent = events.PeerSilent | events.PeerHeard


class SilenceWatch:
    """Probes links with open calls and reports owners that do not answer.

    Parameters
    ----------
    unsent : UnsentCalls
        Calls whose last byte was not written yet.
    clock : callable
        Returns seconds for which this process has run, without its pauses.
    notify : callable
        Called with ``PeerSilent`` and ``PeerHeard``.
    """

    def __init__(
        self,
        *,
        unsent: unsent_calls.UnsentCalls,
        clock: Callable[[], float],
        notify: Callable[[_SilenceEvent], None],
    ) -> None:
        self._unsent = unsent
        self._clock = clock
        self._notify = notify

    def now(self) -> float:
        """Return seconds for which this process has run, without its pauses."""
        return self._clock()

    def is_cut_off(self, outgoing: outgoing_link.OutgoingLink) -> bool:
        """Return whether no running process answers on a connected link."""
        link = outgoing.connection
        # A connection attempt has a timeout of its own.
        if link is None or link.transport is None:
            return False
        return outgoing.is_cut_off(self._clock())

    def links_to_check(
        self,
        links: Iterable[outgoing_link.OutgoingLink],
    ) -> list[outgoing_link.OutgoingLink]:
        """Return the links that have to be checked periodically.

        These have open calls, do not answer probes, or are being opened.
        """
        return [
            outgoing
            for outgoing in links
            if self.has_calls(outgoing)
            or outgoing.silent
            or outgoing.link is None
        ]

    def has_calls(self, outgoing: outgoing_link.OutgoingLink) -> bool:
        """Return whether a call is being sent or waits for its answer."""
        unsent = self._unsent.begun_at(outgoing.number) < math.inf
        return unsent or bool(outgoing.sent)

    def probe(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Probe an inactive link; report once that a probe is not answered."""
        now = self._clock()
        outgoing.probe_if_silent(now, self._unsent.begun_at(outgoing.number))
        if outgoing.mark_silent(now):
            self._notify(events.PeerSilent(instance=outgoing.instance))

    def note_data_arrived(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Record that bytes arrived from an owner; report its recovery."""
        outgoing.note_data_arrived(self._clock())
        if outgoing.clear_silent():
            self._notify(events.PeerHeard(instance=outgoing.instance))
