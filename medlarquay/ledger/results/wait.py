"""Wait for the outcome of the attempt that runs."""

import dataclasses

from medlarquay import ids

__all__ = ('Wait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Wait for the outcome of the attempt that runs.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange of that attempt.
    """

    exchange: ids.ExchangeId
