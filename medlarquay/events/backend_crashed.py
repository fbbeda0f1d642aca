"""The local backend server crashed with requests in flight."""

import dataclasses

from medlarquay import ids

__all__ = ('BackendCrashed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendCrashed:
    """The local backend server crashed with requests in flight.

    Attributes
    ----------
    exchanges : tuple[ids.ExchangeId, ...]
        Exchanges in flight; a ``BackendFailed`` follows for each.
    """

    exchanges: tuple[ids.ExchangeId, ...]
