"""Tests of the task that follows a parent."""

import dataclasses

import pytest
from twisted.internet import task

from medlarquay import (
    codec,
    events,
    ids,
    messages,
    replica,
    states,
    topology,
)
from medlarquay.tasks import follower, link_watcher, running_clock
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import large_document, memory_link

_PARENT = topology.Peer(
    instance=ids.InstanceId('parent'),
    region=ids.RegionName('r'),
    data_centre=ids.DataCentreName('d'),
    host='parent',
    port=1,
)
_STEP_S = 0.05


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
        link = memory_link.MemoryLink(
            on_send=self._keep, on_close=watcher.closed
        )
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


class _Bench:
    """A follower with one parent."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.running = running_clock.RunningClock(clock=self.clock.seconds)
        self.links = _OneLink()
        self.membership = ingress_bench.Recorder()
        self.follower = follower.Follower(
            reactor=self.clock,
            links=self.links,
            hello=messages.Hello(
                instance=ids.InstanceId('child'),
                incarnation=ids.Incarnation('one'),
                region=_PARENT.region,
                data_centre=_PARENT.data_centre,
            ),
            clock=self.clock.seconds,
            running=self.running.seconds,
        )
        self.follower.membership = self.membership
        self.follower.post(
            events.ParentChosen(parent=_PARENT, must_be_fresh=False),
        )

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            self.running.seconds()

    def faults(self) -> list[states.ParentFault]:
        """Return why parents were left since the last call."""
        return [
            message.reason
            for message in self.membership.take()
            if isinstance(message, events.ParentLost)
        ]

    def requests(self) -> int:
        """Return how often all records were requested."""
        return sum(
            isinstance(sent, messages.FetchAll) for sent in self.links.sent
        )


def test_a_difference_that_cannot_be_used_is_followed_by_all_records() -> None:
    """Guards against a child that asks for the same difference for ever."""
    bench = _Bench()
    # Nothing takes the records, so the vector of the child stays.
    bench.links.deliver(messages.Records(delta=_difference()))
    assert isinstance(bench.links.sent[-1], messages.FetchAll)


def test_all_records_are_requested_once_for_queued_differences() -> None:
    """Guards against one whole document for each difference of a storm."""
    bench = _Bench()
    for _ in range(3):
        bench.links.deliver(messages.Records(delta=_difference()))
    assert bench.requests() == 1
    whole = dataclasses.replace(_difference(), differences=())
    bench.links.deliver(messages.Records(delta=whole))
    bench.links.deliver(messages.Records(delta=_difference()))
    assert bench.requests() == 2


@pytest.mark.parametrize('arriving', [True, False])
def test_a_parent_whose_records_arrive_is_not_silent(*, arriving: bool) -> None:
    """Guards against a parent left while its records fill a slow link."""
    bench = _Bench()
    for _ in range(3):
        bench.pass_time(0.5)
        if arriving and bench.links.watcher is not None:
            bench.links.watcher.heard()
    bench.pass_time(0.5)
    expected = [] if arriving else [states.ParentFault.SILENT]
    assert bench.faults() == expected


@pytest.mark.parametrize('seconds', [0.9, 1.2, 1.45, 5])
def test_a_pause_is_not_the_silence_of_a_parent(seconds: float) -> None:
    """Guards against a parent left for what was not read in a pause."""
    bench = _Bench()
    bench.pass_time(0.9)
    bench.clock.advance(seconds)
    assert not bench.faults()
    bench.links.watcher.heard()
    bench.pass_time(1.4)
    assert not bench.faults()
    bench.pass_time(0.6)
    assert bench.faults() == [states.ParentFault.SILENT]
