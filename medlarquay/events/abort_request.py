"""Cancel a request at the local backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('AbortRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AbortRequest:
    """Cancel a request at the local backend server.

    Attributes
    ----------
    exchange : ids.ExchangeId
        Exchange to cancel.
    """

    exchange: ids.ExchangeId
