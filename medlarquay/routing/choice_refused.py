"""Decision to refuse a call at the ingress."""

import dataclasses

from medlarquay import states

__all__ = ('ChoiceRefused',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceRefused:
    """Decision to refuse a call at the ingress.

    Attributes
    ----------
    reason : RefusalReason
        Reason that is reported to the caller.
    """

    reason: states.RefusalReason
