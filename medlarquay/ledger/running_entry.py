"""A key whose request is queued or runs."""

import dataclasses

from medlarquay import ids

__all__ = ('RunningEntry',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningEntry:
    """A key whose request is queued or runs; it has no deadline.

    Attributes
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    exchange : ExchangeId
        Exchange that runs it.
    """

    fingerprint: ids.Fingerprint
    exchange: ids.ExchangeId
