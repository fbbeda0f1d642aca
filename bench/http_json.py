"""HTTP requests of the benchmarks to test doubles and nodes."""

import json
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

__all__ = ('get_status', 'request_json')

_TIMEOUT_S = 30


def request_json(url: str, content: Any = None, *, method: str = 'PUT') -> Any:
    """Send a request and return its JSON answer.

    Parameters
    ----------
    url : str
        URL of the request.
    content : object, optional
        Body, encoded as JSON. Without it, the request is a GET.
    method : str
        Method of a request with a body.

    Returns
    -------
    object
        Decoded body of the answer; None when it is empty.

    Raises
    ------
    OSError
        If there is no answer within 30 s, or its status is an error.
    """
    request = Request(url)  # noqa: S310
    if content is not None:
        request.method = method
        request.data = json.dumps(content).encode()
    with urlopen(request, timeout=_TIMEOUT_S) as answer:  # noqa: S310
        body = answer.read()
    return json.loads(body) if body else None


def get_status(url: str, *, host: str) -> int:
    """Send a GET and return the HTTP status; 0 when there is no answer."""
    request = Request(url, headers={'Host': host})  # noqa: S310
    try:
        with urlopen(request, timeout=_TIMEOUT_S) as answer:  # noqa: S310
            return int(answer.status)
    except HTTPError as error:
        return int(error.code)
    except OSError:
        return 0
