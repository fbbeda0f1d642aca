"""Closing of the links from ingresses before the node stops."""

from collections.abc import Mapping

from medlarquay import events, ids, states, transport
from medlarquay.tasks import link_writer, task

__all__ = ('LinkClosing',)


class LinkClosing:
    """Closes links once the other side has its answers, and reports that.

    Parameters
    ----------
    writer : LinkWriter
        Knows which large frames wait for the link of the machine.
    """

    def __init__(self, *, writer: link_writer.LinkWriter) -> None:
        self.lifecycle: task.Task | None = None
        self._writer = writer
        self._started = False
        # Links that are still open, and those of them with frames to send.
        self._open: set[ids.LinkId] = set()
        self._sending: dict[ids.LinkId, transport.Link] = {}

    @property
    def started(self) -> bool:
        """Whether the links are being closed; no call is taken after that."""
        return self._started

    def start(self, links: Mapping[ids.LinkId, transport.Link]) -> None:
        """Close the links after what was sent on them."""
        self._started = True
        self._open = set(links)
        self._sending = dict(links)
        for number in tuple(links):
            self.go_on(number)
        self._report_if_closed()

    def go_on(self, number: ids.LinkId) -> None:
        """Close a link if its last large frame was written or dropped."""
        if self._sending and not self._writer.has_waiting_frames(number):
            link = self._sending.pop(number, None)
            if link is not None and link.close_gracefully():
                # The ingress has its answers; it may be slow to close.
                self._open.discard(number)
                self._report_if_closed()

    def forget(self, number: ids.LinkId) -> None:
        """Take note that a link is closed."""
        self._open.discard(number)
        self._sending.pop(number, None)
        self._report_if_closed()

    def _report_if_closed(self) -> None:
        lifecycle = self.lifecycle
        if self._started and not self._open and lifecycle is not None:
            self.lifecycle = None
            lifecycle.post(events.WorkFinished(part=states.NodePart.LINKS))
