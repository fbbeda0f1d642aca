"""Closing of the links from ingresses before the node stops."""

from collections.abc import Iterable

from medlarquay import events, states, transport
from medlarquay.tasks import task

__all__ = ('LinkClosing',)


class LinkClosing:
    """Closes links once the other side has its answers, and reports that."""

    def __init__(self) -> None:
        self.lifecycle: task.Task | None = None
        self._started = False
        self._open: set[transport.Link] = set()

    @property
    def started(self) -> bool:
        """Whether the links are being closed; no call is taken after that."""
        return self._started

    def start(self, links: Iterable[transport.Link]) -> None:
        """Close the links after what was sent on them."""
        self._started = True
        self._open = set(links)
        for link in tuple(self._open):
            link.finish()
        self._report_if_closed()

    def forget(self, link: transport.Link) -> None:
        """Take note that a link is closed."""
        self._open.discard(link)
        self._report_if_closed()

    def _report_if_closed(self) -> None:
        lifecycle = self.lifecycle
        if self._started and not self._open and lifecycle is not None:
            self.lifecycle = None
            lifecycle.post(events.WorkFinished(part=states.NodePart.LINKS))
