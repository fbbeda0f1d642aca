"""Configuration of the platform with many routes, for measurements."""

import hashlib

from medlarquay.platform.testing import published_configuration

__all__ = ('build_configuration',)

_SERVICES = 40
_PLANNED_TIMEOUT = '2s'


def build_configuration(
    routes: int,
    *,
    version: int = 1,
    changed: tuple[int, ...] = (),
) -> bytes:
    """Return a configuration as the platform publishes it (CBOR).

    Parameters
    ----------
    routes : int
        Number of routes.
    version : int
        Version field of the configuration.
    changed : tuple of int
        Numbers of the routes whose timeout depends on the version.
    """
    timeout = f'{version + 2}s'
    return published_configuration.encode_configuration(
        {
            f'route-{number}': _route(
                number,
                timeout=timeout if number in changed else _PLANNED_TIMEOUT,
            )
            for number in range(routes)
        },
        [f'service-{number}' for number in range(_SERVICES)],
        version=version,
    )


def _route(number: int, *, timeout: str) -> dict[str, object]:
    service = number % _SERVICES
    return {
        'host': f'service-{service}.example',
        'path_prefix': f'/{_name(number)}/',
        'kind': 'repeat' if number % 3 else 'once',
        'timeout': timeout,
        'target_latency': '500ms',
        'priority': number % 3,
        'attempts': 3,
        'service': f'service-{service}',
    }


def _name(number: int) -> str:
    """Return a name that compresses badly, as real names do."""
    return hashlib.sha256(str(number).encode()).hexdigest()[:10]
