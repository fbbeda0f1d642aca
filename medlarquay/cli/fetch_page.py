"""Questions to the operators' port of a node."""

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
    """Ask one question and run the reactor until it is answered.

    Raises
    ------
    LinkError
        If the node cannot be reached or does not answer with the page.
    """
    answers: list[bytes | failure.Failure] = []
    reactor.callWhenRunning(_start, request, answers)
    reactor.run()
    answer = answers[0]
    if isinstance(answer, failure.Failure):
        raise errors.LinkError(
            f'node gave no answer: {answer.getErrorMessage()}',
            step=_STEP,
            peer=str(request.node),
        ) from answer.value
    return answer


def _start(
    request: page_request.PageRequest,
    answers: list[bytes | failure.Failure],
) -> None:
    asked = defer.ensureDeferred(_get(request))
    asked.addBoth(answers.append)
    asked.addBoth(_stop)


def _stop(_: object) -> None:
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
