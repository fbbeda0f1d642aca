"""Tests for the graceful closing of incoming call links."""

from medlarquay import events, ids, states
from medlarquay.tasks import link_closing
from medlarquay.tasks.tests import ingress_bench

_LINK = ids.LinkId(1)


class _Writer:
    """Stub of the link writer: large frames wait until told otherwise."""

    def __init__(self) -> None:
        self.waiting = True

    def has_waiting_frames(self, number: ids.LinkId) -> bool:
        """Return whether large frames wait."""
        return self.waiting


class _AcknowledgedLink:
    """Stub of a link whose other side has acknowledged all bytes."""

    def close_gracefully(self) -> bool:
        """Close the link; nothing is left to send."""
        return True


def test_stop_finishes_after_last_large_frame() -> None:
    """Guards against a stop that waits for its deadline with no work left.

    It came about if the last large frame did not finish its link.
    """
    writer = _Writer()
    closing = link_closing.LinkClosing(writer=writer)  # type: ignore[arg-type]
    lifecycle = ingress_bench.Recorder()
    closing.lifecycle = lifecycle
    closing.start({_LINK: _AcknowledgedLink()})  # type: ignore[dict-item]
    assert not lifecycle.take()
    writer.waiting = False
    closing.close_if_sent(_LINK)
    assert lifecycle.take() == [
        events.WorkFinished(part=states.NodePart.LINKS),
    ]
