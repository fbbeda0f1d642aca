"""The task that reads the configuration service."""

import json
from collections.abc import Callable

import treq
from twisted.internet import defer, interfaces
from twisted.internet import task as cooperation

from medlarquay import events, ids
from medlarquay.tasks import task

__all__ = ('SourceReader',)

_WAIT_MS = 1000
_PAUSE_S = 0.5
_TIMEOUT_S = 5


class SourceReader(task.Task):
    """Owns the watches on the settings tree and the instance list.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the reads.
    base_url : str
        Address of the configuration service.
    configuration : Task
        Receives ``DocumentsRead``.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        base_url: str,
        configuration: task.Task,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='source')
        self._reactor = reactor
        self._base_url = base_url
        self._configuration = configuration
        self._clock = clock

    def receive(self, message: object) -> None:
        """Pass documents on to the configuration."""
        self._configuration.post(message)

    def start(self) -> None:
        """Watch both trees until the process ends."""
        for tree in ('teams', 'instances'):
            defer.ensureDeferred(self._watch(tree))

    async def _watch(self, tree: str) -> None:
        revision = 0
        while True:
            try:
                revision = await self._read(tree, revision)
            except Exception as failure:
                # Any failure of the source is answered alike: read again.
                self._log.warning('read of {} failed: {}', tree, failure)
                await cooperation.deferLater(self._reactor, _PAUSE_S)

    async def _read(self, tree: str, after: int) -> int:
        asked_at = self._clock()
        response = await treq.get(
            f'{self._base_url}/v1/watch/{tree}',
            params={'after': str(after), 'wait_ms': str(_WAIT_MS)},
            timeout=_TIMEOUT_S,
        )
        answer = json.loads(await treq.content(response))
        entries = tuple(
            events.SourceEntry(
                key=found['key'],
                revision=ids.Revision(found['revision']),
                content=_encoded(found['value']),
            )
            for found in answer['entries']
        )
        self.post(
            events.DocumentsRead(
                tree=tree,
                revision=ids.Revision(answer['revision']),
                entries=entries,
                asked_at=asked_at,
            ),
        )
        return max(after, int(answer['revision']))


def _encoded(text: str | None) -> bytes | None:
    return None if text is None else text.encode()
