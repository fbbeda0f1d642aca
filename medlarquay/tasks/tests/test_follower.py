"""Tests of the follower, which receives records from a parent."""

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
from medlarquay.tasks import follower, link_callbacks, running_clock
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


class _RecordingConnector:
    """Opens one link at once and keeps the messages sent on it."""

    def __init__(self) -> None:
        self.callbacks: link_callbacks.LinkCallbacks | None = None
        self.sent: list[object] = []

    def open(
        self,
        target: topology.Peer,
        callbacks: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open the link to the parent."""
        self.callbacks = callbacks
        link = memory_link.MemoryLink(
            on_send=self._keep, on_close=callbacks.closed
        )
        callbacks.opened(link)

    def deliver(self, message: object) -> None:
        """Deliver a message from the parent."""
        assert self.callbacks is not None
        self.callbacks.received(codec.encode(message, now=0))

    def _keep(self, frame: bytes) -> None:
        self.sent.append(codec.decode(frame, now=0, peer='child'))


def _difference_delta() -> replica.Delta:
    """Return a delta with the difference between versions of a document."""
    parent_replica = replica.Replica()
    for revision in (1, 2):
        content = large_document.large_document(20, changed=(revision,))
        replica.apply_source(
            parent_replica,
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
    delta = parent_replica.delta_after(
        replica.VersionVector(tree_revision=ids.Revision(1)),
    )
    assert delta.differences
    return delta


class _Bench:
    """A follower with one parent."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.running_clock = running_clock.RunningClock(
            clock=self.clock.seconds
        )
        self.links = _RecordingConnector()
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
            running_clock=self.running_clock.seconds,
        )
        self.follower.membership = self.membership
        self.follower.post(
            events.ParentChosen(parent=_PARENT, must_be_fresh=False),
        )

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps shorter than a pause."""
        for _ in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            self.running_clock.seconds()

    def faults(self) -> list[states.ParentFault]:
        """Return the faults of the parents lost since the last call."""
        return [
            message.reason
            for message in self.membership.take()
            if isinstance(message, events.ParentLost)
        ]

    def count_full_requests(self) -> int:
        """Return the number of requests for all records."""
        return sum(
            isinstance(sent, messages.FetchAll) for sent in self.links.sent
        )


def test_inapplicable_difference_causes_request_for_all_records() -> None:
    """Guards against endless requests for a difference that cannot apply."""
    bench = _Bench()
    # No configuration task applies the records, so the version vector of the
    # child does not change.
    bench.links.deliver(messages.Records(delta=_difference_delta()))
    assert isinstance(bench.links.sent[-1], messages.FetchAll)


def test_queued_differences_cause_one_request_for_all_records() -> None:
    """Guards against a whole document for each difference in a burst."""
    bench = _Bench()
    for _ in range(3):
        bench.links.deliver(messages.Records(delta=_difference_delta()))
    assert bench.count_full_requests() == 1
    all_records = dataclasses.replace(_difference_delta(), differences=())
    bench.links.deliver(messages.Records(delta=all_records))
    bench.links.deliver(messages.Records(delta=_difference_delta()))
    assert bench.count_full_requests() == 2


@pytest.mark.parametrize('arriving', [True, False])
def test_parent_is_not_silent_while_bytes_arrive(*, arriving: bool) -> None:
    """Guards against giving up a parent whose records fill a slow link.

    A message that takes longer than the silence timeout delays the heartbeats.
    """
    bench = _Bench()
    for _ in range(3):
        bench.pass_time(0.5)
        if arriving and bench.links.callbacks is not None:
            bench.links.callbacks.data_arrived()
    bench.pass_time(0.5)
    expected = [] if arriving else [states.ParentFault.SILENT]
    assert bench.faults() == expected


@pytest.mark.parametrize('seconds', [0.9, 1.2, 1.45, 5])
def test_pause_does_not_count_as_silence_of_the_parent(seconds: float) -> None:
    """Guards against giving up a parent for a pause of this process.

    The bytes of the parent wait in the socket until the process runs again.
    """
    bench = _Bench()
    bench.pass_time(0.9)
    bench.clock.advance(seconds)
    assert not bench.faults()
    bench.links.callbacks.data_arrived()
    bench.pass_time(1.4)
    assert not bench.faults()
    bench.pass_time(0.6)
    assert bench.faults() == [states.ParentFault.SILENT]
