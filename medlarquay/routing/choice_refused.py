"""No owner may be sent a call."""

import dataclasses

from medlarquay import states

__all__ = ('ChoiceRefused',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceRefused:
    """No owner may be sent a call.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    """

    reason: states.RefusalReason
