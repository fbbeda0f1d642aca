"""Test double of the configuration service and the instance list."""

import argparse
import dataclasses
import functools
import json
import time
from typing import Any
from urllib.parse import parse_qsl

from twisted.internet import interfaces, task

from medlarquay.testing import (
    call_counter,
    http_exchange,
    serving,
    source_faults,
    source_tree,
    source_watch,
)

__all__ = ('Source',)

_MS_PER_SECOND = 1000
_INSTANCES = 'instances'


class Source:
    """Read-and-watch service for two trees, with publishing for tests.

    ``GET /v1/watch/<tree>?after=R&wait_ms=T`` answers with the entries newer
    than revision ``R``, and waits up to ``T`` ms for one. ``PUT
    /publish/<tree>/<key>`` publishes one value (an empty body deletes it);
    ``PUT /publish/<tree>`` publishes several from a JSON object. ``GET
    /v1/calls`` returns the counted calls, and ``PUT /-/faults`` sets fields of
    ``SourceFaults``.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timers of watches and faults.
    """

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        self.counter = call_counter.CallCounter()
        self.faults = source_faults.SourceFaults()
        self._reactor = reactor
        self._trees = {
            'teams': source_tree.SourceTree(),
            _INSTANCES: source_tree.SourceTree(),
        }
        self._watches: list[source_watch.SourceWatch] = []

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve one request."""
        path, _, query = exchange.target.partition('?')
        parts = path.strip('/').split('/')
        match parts:
            case ['v1', 'calls']:
                exchange.answer(self._encode_calls())
            case ['v1', 'watch', tree]:
                self._handle_watch(exchange, tree, dict(parse_qsl(query)))
            case ['publish', tree, key]:
                changes = {key: exchange.body.decode()}
                exchange.answer(self._publish(tree, changes))
            case ['publish', tree]:
                changes = json.loads(exchange.body)
                exchange.answer(self._publish(tree, changes))
            case ['-', 'faults']:
                self._set_faults(json.loads(exchange.body))
                exchange.answer()
            case _:
                exchange.answer(status=404)

    def count_pending(self) -> None:
        """Count the pending watches; to be called as each second begins."""
        self.counter.add_pending(now=time.time(), pending=len(self._watches))

    def _encode_calls(self) -> bytes:
        return json.dumps({
            'calls': self.counter.total,
            'by_second': self.counter.by_second,
        }).encode()

    def _set_faults(self, fields: dict[str, Any]) -> None:
        self.faults = dataclasses.replace(self.faults, **fields)
        if self.faults.down:
            for watch in tuple(self._watches):
                self._remove_watch(watch)
                watch.exchange.reset()

    def _publish(self, tree: str, changes: dict[str, str]) -> bytes:
        if tree == _INSTANCES and self.faults.list_lag_ms:
            self._reactor.callLater(
                self.faults.list_lag_ms / _MS_PER_SECOND,
                self._apply,
                tree,
                changes,
            )
        else:
            self._apply(tree, changes)
        return json.dumps({'revision': self._trees[tree].revision}).encode()

    def _apply(self, tree: str, changes: dict[str, str]) -> None:
        for key, content in changes.items():
            self._trees[tree].publish(key, content or None)
        for watch in tuple(self._watches):
            if (
                watch.tree == tree
                and self._visible_revision(tree) > watch.after
            ):
                self._end_watch(watch)

    def _handle_watch(
        self,
        exchange: http_exchange.HttpExchange,
        tree: str,
        query: dict[str, str],
    ) -> None:
        self.counter.add(now=time.time())
        if self.faults.down:
            exchange.reset()
            return
        after = int(query.get('after', 0))
        wait_ms = int(query.get('wait_ms', 0))
        if self._visible_revision(tree) > after or not wait_ms:
            self._reactor.callLater(
                self.faults.slow_ms / _MS_PER_SECOND,
                self._answer,
                exchange,
                tree,
                after,
            )
        else:
            self._hold_watch(exchange, tree, after, wait_ms)

    def _hold_watch(
        self,
        exchange: http_exchange.HttpExchange,
        tree: str,
        after: int,
        wait_ms: int,
    ) -> None:
        watch = source_watch.SourceWatch(
            exchange=exchange,
            tree=tree,
            after=after,
        )
        watch.timer = self._reactor.callLater(
            wait_ms / _MS_PER_SECOND,
            self._end_watch,
            watch,
        )
        exchange.on_disconnect = functools.partial(self._remove_watch, watch)
        self._watches.append(watch)

    def _end_watch(self, watch: source_watch.SourceWatch) -> None:
        self._remove_watch(watch)
        self._answer(watch.exchange, watch.tree, watch.after)

    def _remove_watch(self, watch: source_watch.SourceWatch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None and watch.timer.active():
            watch.timer.cancel()

    def _answer(
        self,
        exchange: http_exchange.HttpExchange,
        tree: str,
        after: int,
    ) -> None:
        until = self._visible_revision(tree)
        content = {
            'revision': until,
            'entries': self._trees[tree].entries(after=after, until=until),
        }
        exchange.answer(json.dumps(content).encode())

    def _visible_revision(self, tree: str) -> int:
        """Return the revision of a tree that the current call reads.

        Every ``stale_every``-th call reads a stale replica.
        """
        revision = self._trees[tree].revision
        if self.counter.total % self.faults.stale_every:
            return revision
        return max(0, revision - self.faults.behind)


def main() -> None:
    """Run the source double as a program."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    arguments = parser.parse_args()
    source = Source(reactor=reactor)
    task.LoopingCall(source.count_pending).start(1, now=False)
    serving.serve(reactor=reactor, port=arguments.port, handle=source.handle)


if __name__ == '__main__':
    main()
