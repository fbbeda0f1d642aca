"""The outcome of the request of a key is unknown."""

import dataclasses

from medlarquay import ids, states

__all__ = ('OutcomeLost',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeLost:
    """The outcome of the request of a key is unknown; it may have run.

    Attributes
    ----------
    key : RequestKey
        Key of the request.
    reason : RefusalReason
        Why the outcome is unknown; also reported to later attempts.
    """

    key: ids.RequestKey
    reason: states.RefusalReason
