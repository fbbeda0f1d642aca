"""A changed pool with the services that the change affects."""

import dataclasses

from medlarquay.snapshots import pool, service_key

__all__ = ('PoolChange',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolChange:
    """A changed pool with the services that the change affects.

    Attributes
    ----------
    pool : Pool
        The instance list after the change.
    affected : frozenset of ServiceKey
        Services whose backend servers differ.
    """

    pool: pool.Pool
    affected: frozenset[service_key.ServiceKey]
