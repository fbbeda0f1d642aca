"""Requests of the benchmarks to test doubles and nodes."""

import json
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

__all__ = ('get_status', 'request_json')

_TIMEOUT_S = 30


def request_json(url: str, content: Any = None, *, method: str = 'PUT') -> Any:
    """Return the JSON answer to a read, or to a write of JSON."""
    request = Request(url)  # noqa: S310
    if content is not None:
        request.method = method
        request.data = json.dumps(content).encode()
    with urlopen(request, timeout=_TIMEOUT_S) as answer:  # noqa: S310
        body = answer.read()
    return json.loads(body) if body else None


def get_status(url: str, *, host: str) -> int:
    """Return the HTTP status of a read; 0 when there is no answer."""
    request = Request(url, headers={'Host': host})  # noqa: S310
    try:
        with urlopen(request, timeout=_TIMEOUT_S) as answer:  # noqa: S310
            return int(answer.status)
    except HTTPError as failure:
        return int(failure.code)
    except OSError:
        return 0
