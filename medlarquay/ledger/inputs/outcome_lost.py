"""Whether the request of a key ran cannot be known."""

import dataclasses

from medlarquay import ids, states

__all__ = ('OutcomeLost',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeLost:
    """Whether the request of a key ran cannot be known.

    Attributes
    ----------
    key : RequestKey
        Key.
    reason : RefusalReason
        What broke; repeated to later attempts.
    """

    key: ids.RequestKey
    reason: states.RefusalReason
