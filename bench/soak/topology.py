"""Instances, services and routes of the soak."""

from bench import instance

__all__ = (
    'ARCHIVE',
    'DESK',
    'DRAIN_S',
    'LINK_MBPS',
    'LOOKUP_PATH',
    'PORTAL',
    'SERVICES',
    'TEAM',
    'build_document',
    'build_instances',
    'host_of',
)

TEAM = 'agency'
ARCHIVE = 'press-archive'
DESK = 'editorial-desk'
PORTAL = 'digest-portal'
SERVICES = (ARCHIVE, DESK, PORTAL)
# The rate of the machines in the incident of 2026-12-04.
LINK_MBPS = 3.5
LOOKUP_PATH = '/lookup'
DRAIN_S = 5
_REGIONS = ('palermo', 'catania')
_SLOTS = 6
_TIMEOUT_MS = 8000


def host_of(service: str) -> str:
    """Return the host of the routes to a service."""
    return f'{service}.{TEAM}'


def build_instances(nodes: int) -> list[instance.Instance]:
    """Return instances of the services by turns, in two regions."""
    return [
        instance.Instance(
            name=f'{SERVICES[number % len(SERVICES)]}-{number}',
            team=TEAM,
            service=SERVICES[number % len(SERVICES)],
            region=_REGIONS[number * len(_REGIONS) // nodes],
            data_centre=f'{_REGIONS[number * len(_REGIONS) // nodes]}-1',
            slots=_SLOTS,
        )
        for number in range(nodes)
    ]


def build_document(version: int) -> dict[str, object]:
    """Return a version of the team's document; it alone has ``/v<version>``."""
    routes: list[dict[str, object]] = [
        {
            'host': host_of(service),
            'service': service,
            'rank': 'urgent',
            'timeout_ms': _TIMEOUT_MS,
        }
        for service in SERVICES
    ]
    # What a node expects of an answer, its size too, it learns by route.
    routes.extend((
        {
            'host': host_of(ARCHIVE),
            'path_prefix': LOOKUP_PATH,
            'service': ARCHIVE,
            'rank': 'urgent',
        },
        {
            'host': f'version.{TEAM}',
            'path_prefix': f'/v{version}',
            'service': PORTAL,
        },
    ))
    return {'services': {name: {} for name in SERVICES}, 'routes': routes}
