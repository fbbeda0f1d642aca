"""Tests of the source reader."""

import json
import random

import logbook
from twisted.internet import task

from medlarquay import errors, events, ids, replica, states
from medlarquay.tasks import source_reader
from medlarquay.tasks import task as tasks


class _Recorder(tasks.Task):
    """Keeps whether the source was last reported as reachable."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.reachable = True

    def receive(self, message: object) -> None:
        """Record one message."""
        if isinstance(message, events.SourceChanged):
            self.reachable = message.reachable


class _PartlyFailingSource:
    """Answers reads of the instance list and fails reads of documents."""

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return an answer without entries, or raise."""
        if tree is replica.SourceTree.TEAMS:
            raise errors.SourceError('no answer in time', step='read')
        return json.dumps({'revision': 1, 'entries': []}).encode()


def test_source_is_unreachable_if_one_tree_fails() -> None:
    """Guards against a reader that follows no other while one tree fails.

    A reader whose link was too slow for the documents still read the short
    instance list, counted the source as reachable and so left the other reader
    that it had begun to follow.
    """
    clock = task.Clock()
    recorder = _Recorder()
    reader = source_reader.SourceReader(
        reactor=clock,
        fetcher=_PartlyFailingSource(),
        randomness=random.Random(1),
        clock=clock.seconds,
    )
    reader.membership = recorder
    reader.post(events.ReadingChosen(mode=states.ReadingMode.READER))
    for _ in range(40):
        clock.advance(0.1)
    assert not recorder.reachable


class _SlowSource:
    """Answers each read with one entry after 0.3 s."""

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return an answer with one entry after 0.3 s."""
        await task.deferLater(self._clock, 0.3)
        entry = {'key': 'a', 'revision': 7, 'value': None}
        return json.dumps({'revision': 7, 'entries': [entry]}).encode()


def test_log_separates_idle_time_from_answer_time() -> None:
    """Guards against a late change whose log does not show the cause.

    The cause is either a late read or a late answer of the source.
    """
    clock = task.Clock()
    reader = source_reader.SourceReader(
        reactor=clock,
        fetcher=_SlowSource(clock),
        randomness=random.Random(1),
        clock=clock.seconds,
    )
    logged = logbook.TestHandler()
    with logged:
        reader.post(events.ReadingChosen(mode=states.ReadingMode.READER))
        clock.pump([0.1] * 20)
    lines = [
        record.message
        for record in logged.records
        if 'tree=instances' in record.message
    ]
    assert lines[0].endswith('entries=1 idle_ms=- answer_ms=300')
    assert 'answer_ms=300' in lines[1]
    assert 'idle_ms=-' not in lines[1]
