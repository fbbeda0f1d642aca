"""Configurations with thousands of routes, in the format of the store."""

import random

import cbor2

__all__ = ('COLUMNS', 'Row', 'encode_rows', 'shortest_row', 'usual_row')

#: Columns of the table of routes.
COLUMNS = (
    'name',
    'host',
    'path_prefix',
    'service',
    'kind',
    'timeout',
    'target_latency',
    'attempts',
    'priority',
)
Row = list[object]
_CHARACTERS = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_'
_PREFIX_CHARACTERS = 16


def usual_row(number: int, randomness: random.Random) -> Row:
    """Return a route with a prefix that does not compress."""
    prefix = ''.join(randomness.choices(_CHARACTERS, k=_PREFIX_CHARACTERS))
    kind = randomness.choice(('repeat', 'once'))
    host = f'host-{number % 7}.example'
    times = ('1200ms', '250ms')
    return [f'r{number}', host, f'/{prefix}/', 'desk', kind, *times, 2, 1]


def shortest_row(
    number: int,
    randomness: random.Random,
    *,
    service: str = 'desk',
) -> Row:
    """Return a route that takes as few bytes as possible."""
    name = f'{number:x}'
    kind = randomness.choice(('repeat', 'once'))
    return [name, 'h', f'/{name}/', service, kind, '1s', '1s', 1, 0]


def encode_rows(rows: list[Row], *, unused_services: int = 0) -> bytes:
    """Encode a configuration with these routes as the store holds it (CBOR).

    Parameters
    ----------
    rows : list of Row
        Routes.
    unused_services : int
        Number of services without a route.
    """
    service_column = COLUMNS.index('service')
    services = sorted({str(row[service_column]) for row in rows})
    unused = [f'u{number:x}' for number in range(unused_services)]
    return cbor2.dumps({
        'version': 'r12',
        'routes': {'columns': list(COLUMNS), 'rows': rows},
        'services': {
            'columns': ['name'],
            'rows': [[name] for name in (*services, *unused)],
        },
        'limits': {},
    })
