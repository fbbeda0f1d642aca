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
# Link rate of the machines in the incident of 2026-12-04.
LINK_MBPS = 3.5
LOOKUP_PATH = '/lookup'
DRAIN_S = 5
_REGIONS = ('palermo', 'catania')
_SLOTS = 6
_TIMEOUT_MS = 8000


def host_of(service: str) -> str:
    """Return the host name of the routes to a service."""
    return f'{service}.{TEAM}'


def build_instances(nodes: int) -> list[instance.Instance]:
    """Build instances, assigned to the services round-robin.

    The first half of them is in one region, the rest in the other.
    """
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
    """Build a version of the team's document.

    Only this version has the route ``/v<version>``, so that an answer on the
    route shows which version a node serves.
    """
    routes: list[dict[str, object]] = [
        {
            'host': host_of(service),
            'service': service,
            'rank': 'urgent',
            'timeout_ms': _TIMEOUT_MS,
        }
        for service in SERVICES
    ]
    # A node learns what to expect of an answer, its size too, for each route;
    # the small lookups therefore have a route apart from the large bundles.
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
