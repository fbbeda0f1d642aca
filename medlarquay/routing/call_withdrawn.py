"""A caller went away before its call finished."""

import dataclasses

from medlarquay import ids

__all__ = ('CallWithdrawn',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallWithdrawn:
    """A caller went away before its call finished.

    Attributes
    ----------
    instance : InstanceId
        Owner.
    """

    instance: ids.InstanceId
