"""HTTP client for the admin pages of a node."""

import http

import treq
from twisted.internet import defer, reactor
from twisted.python import failure

from medlarquay import errors
from medlarquay.cli import page_request

__all__ = ('fetch_page',)

_STEP = 'ask node'
_TIMEOUT_S = 5


def fetch_page(request: page_request.PageRequest) -> bytes:
    """Fetch one page; run the reactor until the response is complete.

    Raises
    ------
    LinkError
        If the node cannot be reached, does not answer within 5 s or answers
        with a status other than 200.
    """
    responses: list[bytes | failure.Failure] = []
    reactor.callWhenRunning(_start, request, responses)
    reactor.run()
    result = responses[0]
    if isinstance(result, failure.Failure):
        raise errors.LinkError(
            f'node gave no answer: {result.getErrorMessage()}',
            step=_STEP,
            peer=str(request.node),
        ) from result.value
    return result


def _start(
    request: page_request.PageRequest,
    responses: list[bytes | failure.Failure],
) -> None:
    fetching = defer.ensureDeferred(_get(request))
    fetching.addBoth(responses.append)
    fetching.addBoth(_stop_reactor)


def _stop_reactor(_: object) -> None:
    reactor.stop()


async def _get(request: page_request.PageRequest) -> bytes:
    response = await treq.get(
        f'http://{request.node}/{request.page}',
        params=request.parameters,
        timeout=_TIMEOUT_S,
    )
    content = await treq.content(response)
    if response.code == http.HTTPStatus.OK:
        return content
    raise errors.LinkError(
        f'status {response.code}',
        step=_STEP,
        peer=str(request.node),
    )
