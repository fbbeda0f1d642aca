"""Closing of the links from ingresses at the end of a stop."""

from medlarquay import events, ids, states
from medlarquay.tasks import link_closing
from medlarquay.tasks.tests import ingress_bench

_LINK = ids.LinkId(1)


class _Writer:
    """Tells whether large frames wait for a link."""

    def __init__(self) -> None:
        self.waiting = True

    def has_waiting_frames(self, number: ids.LinkId) -> bool:
        """Tell whether large frames wait."""
        return self.waiting


class _AcknowledgedLink:
    """A link whose other side has all that was sent."""

    def close_gracefully(self) -> bool:
        """Close the link."""
        return True


def test_the_last_large_frame_ends_the_stop() -> None:
    """Guards against a stop that lasts until its deadline for nothing."""
    writer = _Writer()
    closing = link_closing.LinkClosing(writer=writer)  # type: ignore[arg-type]
    lifecycle = ingress_bench.Recorder()
    closing.lifecycle = lifecycle
    closing.start({_LINK: _AcknowledgedLink()})  # type: ignore[dict-item]
    assert not lifecycle.take()
    writer.waiting = False
    closing.go_on(_LINK)
    assert lifecycle.take() == [
        events.WorkFinished(part=states.NodePart.LINKS),
    ]
