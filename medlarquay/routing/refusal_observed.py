"""Event that an owner refused a call or could not be reached."""

import dataclasses

from medlarquay import ids, messages, states

__all__ = ('RefusalObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusalObserved:
    """Event that an owner refused a call or could not be reached.

    Attributes
    ----------
    instance : InstanceId
        Instance of the owner.
    reason : RefusalReason
        Reason of the refusal.
    load : LoadState or None
        Load report carried on the refusal.
    """

    instance: ids.InstanceId
    reason: states.RefusalReason
    load: messages.LoadState | None
