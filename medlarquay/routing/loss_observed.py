"""Event that a call failed after it was sent, without an answer."""

import dataclasses

from medlarquay import ids

__all__ = ('LossObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LossObserved:
    """Event that a call failed after it was sent, without an answer.

    Attributes
    ----------
    instance : InstanceId
        Instance of the owner.
    """

    instance: ids.InstanceId
