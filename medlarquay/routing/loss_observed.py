"""A call broke after it was sent."""

import dataclasses

from medlarquay import ids

__all__ = ('LossObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LossObserved:
    """A call broke after it was sent.

    Attributes
    ----------
    instance : InstanceId
        Owner.
    """

    instance: ids.InstanceId
