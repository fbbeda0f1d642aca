"""Team document with many routes."""

import hashlib
import json

from medlarquay import settings

__all__ = ('TEAM', 'large_document')

#: Team that owns the document; its routes may use any host.
TEAM = settings.SHARED_TEAM
_SERVICES = 40


def large_document(
    routes: int,
    *,
    changed: tuple[int, ...] = (),
    timeout_ms: int = 900,
) -> bytes:
    """Return a team document (JSON) with names that hardly compress.

    Parameters
    ----------
    routes : int
        Number of routes.
    changed : tuple of int
        Numbers of the routes with a timeout other than the default.
    timeout_ms : int
        Timeout of the changed routes, in milliseconds.
    """
    services = [f'service-{number}' for number in range(_SERVICES)]
    return json.dumps(
        {
            'services': {name: {} for name in services},
            'routes': [
                {
                    'host': f'{services[number % _SERVICES]}.example',
                    'path_prefix': f'/{_name(number)}/',
                    'rank': 'normal',
                    'timeout_ms': timeout_ms if number in changed else 2000,
                    'idempotent_methods': ['GET', 'PUT'],
                    'service': services[number % _SERVICES],
                }
                for number in range(routes)
            ],
        },
        separators=(',', ':'),
    ).encode()


def _name(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()[:10]
