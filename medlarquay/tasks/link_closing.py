"""Graceful closing of the incoming call links of a stopping node."""

from collections.abc import Mapping

from medlarquay import events, ids, states, transport
from medlarquay.tasks import link_writer, task

__all__ = ('LinkClosing',)


class LinkClosing:
    """Closes incoming links once all answers on them were sent.

    When the last one is closed, it posts ``WorkFinished`` to the lifecycle.

    Parameters
    ----------
    writer : LinkWriter
        Provides whether large frames wait for the link of the machine.
    """

    def __init__(self, *, writer: link_writer.LinkWriter) -> None:
        self.lifecycle: task.Task | None = None
        self._writer = writer
        self._started = False
        # Links that are still open, and those of them that may still have large
        # frames to send.
        self._open: set[ids.LinkId] = set()
        self._sending: dict[ids.LinkId, transport.Link] = {}

    @property
    def started(self) -> bool:
        """Whether closing has started; no call is accepted after that."""
        return self._started

    def start(self, links: Mapping[ids.LinkId, transport.Link]) -> None:
        """Close each link after the frames that were sent on it."""
        self._started = True
        self._open = set(links)
        self._sending = dict(links)
        for number in tuple(links):
            self.close_if_sent(number)
        self._report_if_closed()

    def close_if_sent(self, number: ids.LinkId) -> None:
        """Close a link gracefully if none of its large frames waits."""
        if self._sending and not self._writer.has_waiting_frames(number):
            link = self._sending.pop(number, None)
            if link is not None and link.close_gracefully():
                # The ingress has received its answers. The stop does not wait
                # for it to close the link, which may be slow.
                self._open.discard(number)
                self._report_if_closed()

    def forget(self, number: ids.LinkId) -> None:
        """Remove a link that is closed."""
        self._open.discard(number)
        self._sending.pop(number, None)
        self._report_if_closed()

    def _report_if_closed(self) -> None:
        lifecycle = self.lifecycle
        if self._started and not self._open and lifecycle is not None:
            self.lifecycle = None
            lifecycle.post(events.WorkFinished(part=states.NodePart.LINKS))
