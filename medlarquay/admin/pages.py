"""The operators' pages."""

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

_READ = ('GET',)
_JSON = 'application/json'
# A part takes about 0.15 ms; a whole page of 8,000 members would hold up the
# calls of the node for 0.3 s.
_VIEWS_IN_PART = 4


class Pages:
    """Answers the requests of operators.

    Parameters
    ----------
    node : ObservedNode
        What is shown.
    reactor : IReactorTime
        Schedules the parts of long pages.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        node: observed_node.ObservedNode,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self._node = node
        # One part in each turn of the reactor, so that calls go on between
        # the parts.
        self._cooperator = task.Cooperator(
            terminationPredicateFactory=lambda: _always,
            scheduler=functools.partial(reactor.callLater, 0),
        )

    @app.route('/health', methods=_READ)
    def health(self, request: iweb.IRequest) -> bytes:
        """Answer while the process runs."""
        return _show(request, describe.describe_health(self._node))

    @app.route('/ready', methods=_READ)
    def ready(self, request: iweb.IRequest) -> bytes:
        """Answer 200 while callers may be sent to the node, else 503."""
        readiness = describe.describe_readiness(self._node)
        if not readiness.ready:
            request.setResponseCode(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return _show(request, readiness)

    @app.route('/version', methods=_READ)
    def version(self, request: iweb.IRequest) -> bytes:
        """Show which configuration the node runs."""
        return _show(request, describe.describe_version(self._node))

    @app.route('/routes', methods=_READ)
    def routes(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the routes in force."""
        return self._stream(request, describe.describe_routes(self._node))

    @app.route('/members', methods=_READ)
    def members(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the instance list."""
        return self._stream(request, describe.describe_members(self._node))

    @app.route('/counters', methods=_READ)
    def counters(self, request: iweb.IRequest) -> bytes:
        """Show the counters as JSON."""
        return _show(request, describe.describe_counters(self._node))

    @app.route('/records', methods=_READ)
    def records(self, request: iweb.IRequest) -> defer.Deferred[bytes]:
        """Show the latest call records."""
        return self._stream(
            request, describe_record.describe_records(self._node)
        )

    @app.route('/metrics', methods=_READ)
    def metrics(self, request: iweb.IRequest) -> bytes:
        """Show counters and histograms in the Prometheus text format."""
        request.setHeader('content-type', self._exporter.content_type)
        return self._exporter.render()

    @app.route('/explain', methods=_READ)
    def explain(self, request: iweb.IRequest) -> bytes:
        """Show how a request would be routed."""
        explained = explain_routing.explain_routing(
            self._node,
            host=_argument(request, 'host', ''),
            target=_argument(request, 'target', '/'),
            method=_argument(request, 'method', 'GET'),
        )
        return _show(request, explained)

    def _stream(
        self,
        request: iweb.IRequest,
        found: Iterable[object],
    ) -> defer.Deferred[bytes]:
        request.setHeader('content-type', _JSON)
        written = self._cooperator.cooperate(_write(request, found))
        return written.whenDone().addCallback(lambda _: b'')

    @functools.cached_property
    def _exporter(self) -> 'exporter.Exporter':
        # The OpenTelemetry SDK takes 2.6 MB, so it is loaded with the first
        # request for metrics.
        from medlarquay.telemetry import exporter  # noqa: PLC0415

        return exporter.Exporter(counts=self._node.counters)


def _always() -> bool:
    return True


def _write(
    request: iweb.IRequest,
    found: Iterable[object],
) -> Iterator[None]:
    failures: list[object] = []
    request.notifyFinish().addErrback(failures.append)
    for part in views.encode_chunks(found, size=_VIEWS_IN_PART):
        if failures:
            return
        request.write(part)
        yield


def _show(request: iweb.IRequest, view: object) -> bytes:
    request.setHeader('content-type', _JSON)
    return views.encode_view(view)


def _argument(request: iweb.IRequest, name: str, default: str) -> str:
    found = request.args.get(name.encode())
    return found[0].decode(errors='replace') if found else default
