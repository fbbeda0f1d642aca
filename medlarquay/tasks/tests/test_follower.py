"""Tests of the task that follows a parent."""

from twisted.internet import task

from medlarquay import codec, events, ids, messages, replica, topology
from medlarquay.tasks import follower, link_watcher
from medlarquay.testing import large_document, memory_link

_PARENT = topology.Peer(
    instance=ids.InstanceId('parent'),
    region=ids.RegionName('r'),
    data_centre=ids.DataCentreName('d'),
    host='parent',
    port=1,
)


class _OneLink:
    """Opens a link at once and keeps what is sent on it."""

    def __init__(self) -> None:
        self.watcher: link_watcher.LinkWatcher | None = None
        self.sent: list[object] = []

    def open(
        self,
        target: topology.Peer,
        watcher: link_watcher.LinkWatcher,
    ) -> None:
        """Open the link."""
        self.watcher = watcher
        link = memory_link.MemoryLink(sent=self._keep, ended=watcher.closed)
        watcher.opened(link)

    def deliver(self, message: object) -> None:
        """Deliver a message of the parent."""
        assert self.watcher is not None
        self.watcher.received(codec.encode(message, now=0))

    def _keep(self, frame: bytes) -> None:
        self.sent.append(codec.decode(frame, now=0, peer='child'))


def _difference() -> replica.Delta:
    """Return a difference between two versions of a document."""
    held = replica.Replica()
    for revision in (1, 2):
        content = large_document.large_document(20, changed=(revision,))
        replica.apply_source(
            held,
            tree=replica.SourceTree.TEAMS,
            after=ids.Revision(revision - 1),
            revision=ids.Revision(revision),
            entries=(
                replica.SourceValue(
                    key=large_document.TEAM,
                    revision=ids.Revision(revision),
                    content=content,
                ),
            ),
        )
    delta = held.delta_after(
        replica.VersionVector(tree_revision=ids.Revision(1)),
    )
    assert delta.differences
    return delta


def test_a_difference_that_cannot_be_used_is_followed_by_all_records() -> None:
    """Guards against a child that asks for the same difference for ever."""
    clock = task.Clock()
    links = _OneLink()
    following = follower.Follower(
        reactor=clock,
        links=links,
        hello=messages.Hello(
            instance=ids.InstanceId('child'),
            incarnation=ids.Incarnation('one'),
            region=_PARENT.region,
            data_centre=_PARENT.data_centre,
        ),
        clock=clock.seconds,
    )
    following.post(events.ParentChosen(parent=_PARENT, must_be_fresh=False))
    # Nothing takes the records, so the vector of the child stays.
    links.deliver(messages.Records(delta=_difference()))
    assert isinstance(links.sent[-1], messages.FetchAll)
