"""Configurations in the format that the platform publishes."""

from collections.abc import Iterable, Mapping

import cbor2

__all__ = ('build_table', 'encode_configuration')


def encode_configuration(
    routes: Mapping[str, Mapping[str, object]],
    services: Iterable[str],
    *,
    version: int = 1,
) -> bytes:
    """Encode a configuration as the store holds it (CBOR)."""
    return cbor2.dumps({
        'version': f'r{version}',
        'services': build_table({name: {} for name in services}),
        'routes': build_table(routes),
    })


def build_table(
    entries: Mapping[str, Mapping[str, object]],
) -> dict[str, object]:
    """Build a table from entries by name; missing fields are None."""
    fields = dict.fromkeys(
        field for entry in entries.values() for field in entry
    )
    rows = [
        [name, *(entry.get(field) for field in fields)]
        for name, entry in entries.items()
    ]
    return {'columns': ['name', *fields], 'rows': rows}
