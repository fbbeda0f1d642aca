"""In-memory test double of the configuration service."""

import json

from twisted.internet import defer, task

from medlarquay import errors, ids, replica

__all__ = ('MemorySource',)

_MS_PER_SECOND = 1000


class MemorySource:
    """Read-and-watch service for two trees on a simulated clock.

    Parameters
    ----------
    clock : Clock
        Simulated time.
    """

    def __init__(self, *, clock: task.Clock) -> None:
        self.down = False
        #: Whether to answer with the saved values, as a stale replica does.
        self.stale = False
        self.calls: list[float] = []
        self._clock = clock
        self._trees: dict[str, dict[str, tuple[int, str | None]]] = {
            tree.value: {} for tree in replica.SourceTree
        }
        self._stale_trees = self._trees
        self._watches: list[defer.Deferred[None]] = []

    def publish(self, tree: str, key: str, content: str | None) -> int:
        """Publish one value and return its revision; None deletes it."""
        revision = self.revision_of(self._trees[tree]) + 1
        self._trees[tree][key] = (revision, content)
        waiting = self._watches
        self._watches = []
        for watch in waiting:
            watch.callback(None)
        return revision

    def save_stale_values(self) -> None:
        """Save the current values, which are served while ``stale`` is set."""
        self._stale_trees = {
            tree: dict(values) for tree, values in self._trees.items()
        }

    def read_page(self, entries: int) -> bytes:
        """Return the first entries of the instance list by key.

        Raises
        ------
        SourceError
            If the source is down.
        """
        if self.down:
            raise errors.SourceError('source is down', step='read source')
        tree = self._trees[replica.SourceTree.INSTANCES.value]
        page = [
            {'key': key, 'revision': revision, 'value': content}
            for key, (revision, content) in sorted(tree.items())[:entries]
        ]
        answer = {'revision': self.revision_of(tree), 'entries': page}
        return json.dumps(answer).encode()

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Answer a read, or hold a watch until a change or its timeout.

        Raises
        ------
        SourceError
            If the source is down.
        """
        self.calls.append(self._clock.seconds())
        if not self.down and not self._is_newer(tree, after) and wait_ms:
            watch: defer.Deferred[None] = defer.Deferred()
            self._watches.append(watch)
            timer = self._clock.callLater(
                wait_ms / _MS_PER_SECOND,
                self._expire,
                watch,
            )
            await watch
            if timer.active():
                timer.cancel()
        if self.down:
            raise errors.SourceError('source is down', step='read source')
        return self._answer(tree, after)

    def revision_of(self, values: dict[str, tuple[int, str | None]]) -> int:
        """Return the highest revision of a tree."""
        return max((revision for revision, _ in values.values()), default=0)

    def _is_newer(self, tree: replica.SourceTree, after: int) -> bool:
        return self.revision_of(self._visible(tree)) > after

    def _visible(
        self,
        tree: replica.SourceTree,
    ) -> dict[str, tuple[int, str | None]]:
        trees = self._stale_trees if self.stale else self._trees
        return trees[tree.value]

    def _expire(self, watch: defer.Deferred[None]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.callback(None)

    def _answer(self, tree: replica.SourceTree, after: int) -> bytes:
        values = self._visible(tree)
        entries = [
            {'key': key, 'revision': revision, 'value': content}
            for key, (revision, content) in values.items()
            if revision > after
        ]
        return json.dumps({
            'revision': self.revision_of(values),
            'entries': entries,
        }).encode()
