"""HTTP admin pages."""

import functools
import http
import typing
from collections.abc import Iterable, Iterator

import klein
from twisted.internet import defer, interfaces, task
from twisted.web import iweb

from medlarquay.admin import (
    describe,
    describe_record,
    explain_routing,
    observed_node,
    views,
)

if typing.TYPE_CHECKING:
    from medlarquay.telemetry import exporter

__all__ = ('Pages',)

_READ_METHODS = ('GET',)
_JSON = 'application/json'
# A chunk takes about 0.15 ms to encode; a whole page of 8,000 members would
# block the calls of the node for 0.3 s.
_VIEWS_PER_CHUNK = 4


class Pages:
    """Serves the admin pages over HTTP.

    Parameters
    ----------
    node : ObservedNode
        Status of the node that the pages show.
    reactor : IReactorTime
        Schedules the chunks of long pages.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        node: observed_node.ObservedNode,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self._node = node
        # One chunk in each turn of the reactor, so that calls are served
        # between the chunks.
        self._cooperator = task.Cooperator(
            terminationPredicateFactory=lambda: _is_turn_over,
            scheduler=functools.partial(reactor.callLater, 0),
        )

    @app.route('/health', methods=_READ_METHODS)
    def health(self, request: iweb.IRequest) -> bytes:
        """Answer 200 as long as the process runs."""
        return _encode_page(request, describe.describe_health(self._node))

    @app.route('/ready', methods=_READ_METHODS)
    def ready(self, request: iweb.IRequest) -> bytes:
        """Answer 200 while the node is ready to take calls, else 503."""
        readiness = describe.describe_readiness(self._node)
        if not readiness.ready:
            request.setResponseCode(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return _encode_page(request, readiness)

    @app.route('/version', methods=_READ_METHODS)
    def version(self, request: iweb.IRequest) -> bytes:
        """Show the identity of the node and its active revisions."""
        return _encode_page(request, describe.describe_version(self._node))

    @app.route('/routes', methods=_READ_METHODS)
    def routes(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the active routes."""
        return self._stream(request, describe.describe_routes(self._node))

    @app.route('/rejected', methods=_READ_METHODS)
    def rejected(self, request: iweb.IRequest) -> bytes:
        """Show the versions of documents that are not in force, and why."""
        return _encode_page(request, describe.describe_rejected(self._node))

    @app.route('/members', methods=_READ_METHODS)
    def members(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the instance list."""
        return self._stream(request, describe.describe_members(self._node))

    @app.route('/counters', methods=_READ_METHODS)
    def counters(self, request: iweb.IRequest) -> bytes:
        """Show the counters as JSON."""
        return _encode_page(request, describe.describe_counters(self._node))

    @app.route('/records', methods=_READ_METHODS)
    def records(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the latest call records."""
        return self._stream(
            request, describe_record.describe_records(self._node)
        )

    @app.route('/metrics', methods=_READ_METHODS)
    def metrics(self, request: iweb.IRequest) -> bytes:
        """Show counters and histograms in the Prometheus text format."""
        request.setHeader('content-type', self._exporter.content_type)
        return self._exporter.render()

    @app.route('/explain', methods=_READ_METHODS)
    def explain(self, request: iweb.IRequest) -> bytes:
        """Show how a request would be routed."""
        explained = explain_routing.explain_routing(
            self._node,
            host=_query_value(request, 'host', ''),
            target=_query_value(request, 'target', '/'),
            method=_query_value(request, 'method', 'GET'),
        )
        return _encode_page(request, explained)

    def _stream(
        self,
        request: iweb.IRequest,
        entries: Iterable[object],
    ) -> defer.Deferred[bytes]:
        request.setHeader('content-type', _JSON)
        writing = self._cooperator.cooperate(_write_chunks(request, entries))
        return writing.whenDone().addCallback(lambda _: b'')

    @functools.cached_property
    def _exporter(self) -> 'exporter.Exporter':
        # The OpenTelemetry SDK takes 2.6 MB, so it is imported at the first
        # request for metrics.
        from medlarquay.telemetry import exporter  # noqa: PLC0415

        return exporter.Exporter(counts=self._node.counters)


def _is_turn_over() -> bool:
    return True


def _write_chunks(
    request: iweb.IRequest,
    entries: Iterable[object],
) -> Iterator[None]:
    failures: list[object] = []
    request.notifyFinish().addErrback(failures.append)
    for chunk in views.encode_chunks(entries, size=_VIEWS_PER_CHUNK):
        if failures:
            return
        request.write(chunk)
        yield


def _encode_page(request: iweb.IRequest, view: object) -> bytes:
    request.setHeader('content-type', _JSON)
    return views.encode_view(view)


def _query_value(request: iweb.IRequest, name: str, default: str) -> str:
    values = request.args.get(name.encode())
    return values[0].decode(errors='replace') if values else default
