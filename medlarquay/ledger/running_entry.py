"""Ledger entry of a request that is queued or running."""

import dataclasses

from medlarquay import ids

__all__ = ('RunningEntry',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningEntry:
    """Ledger entry of a request that is queued or running.

    It has no deadline: it is kept until the request ends.

    Attributes
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    exchange : ExchangeId
        Exchange that runs the request.
    """

    fingerprint: ids.Fingerprint
    exchange: ids.ExchangeId
