"""An owner refused a call, or could not be reached."""

import dataclasses

from medlarquay import ids, messages, states

__all__ = ('RefusalObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusalObserved:
    """An owner refused a call, or could not be reached.

    Attributes
    ----------
    instance : InstanceId
        Owner.
    reason : RefusalReason
        Why.
    load : LoadState or None
        Load carried on the refusal.
    """

    instance: ids.InstanceId
    reason: states.RefusalReason
    load: messages.LoadState | None
