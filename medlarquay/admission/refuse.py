"""Decision to refuse a request."""

import dataclasses

from medlarquay import ids, states

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Decision to refuse a request, which was not sent to the backend server.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    reason : RefusalReason
        Reason of the refusal.
    """

    exchange: ids.ExchangeId
    reason: states.RefusalReason
