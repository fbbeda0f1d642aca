"""Event that an owner returned the answer of its backend server."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('AnswerObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerObserved:
    """Event that an owner returned the answer of its backend server.

    Attributes
    ----------
    instance : InstanceId
        Instance of the owner.
    latency : float
        Seconds since the call was sent.
    load : LoadState or None
        Load report carried on the answer.
    failed : bool
        Whether the answer reports a failure of the backend server.
    route : RouteName
        Route of the call.
    large : bool
        Whether the answer was large enough to be sent in parts.
    """

    instance: ids.InstanceId
    latency: float
    load: messages.LoadState | None
    failed: bool = False
    route: ids.RouteName = ids.RouteName('')
    large: bool = False
