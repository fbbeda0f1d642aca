"""Tests of the task that reads the source."""

import json
import random

from twisted.internet import task

from medlarquay import errors, events, ids, replica, states
from medlarquay.tasks import source_reader
from medlarquay.tasks import task as tasks


class _Recorder(tasks.Task):
    """Keeps whether the source was reachable."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.reachable = True

    def receive(self, message: object) -> None:
        """Record one message."""
        if isinstance(message, events.SourceChanged):
            self.reachable = message.reachable


class _HalfSource:
    """Answers reads of the instance list and fails those of documents."""

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


def test_a_source_that_fails_for_one_tree_is_not_reachable() -> None:
    """Guards against a reader that follows no other one while it reads half.

    A reader whose link was too slow for the documents still read the short
    instance list, and left the other reader that it had begun to follow.
    """
    clock = task.Clock()
    recorder = _Recorder()
    reader = source_reader.SourceReader(
        reactor=clock,
        fetcher=_HalfSource(),
        randomness=random.Random(1),
        clock=clock.seconds,
    )
    reader.membership = recorder
    reader.post(events.ReadingChosen(mode=states.ReadingMode.READER))
    for _ in range(40):
        clock.advance(0.1)
    assert not recorder.reachable
