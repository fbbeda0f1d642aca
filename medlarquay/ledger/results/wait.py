"""Wait for the outcome of an earlier attempt that is running."""

import dataclasses

from medlarquay import ids

__all__ = ('Wait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Wait for the outcome of an earlier attempt that is running.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange of that attempt.
    """

    exchange: ids.ExchangeId
