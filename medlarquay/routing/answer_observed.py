"""An owner returned the answer of its backend server."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('AnswerObserved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerObserved:
    """An owner returned the answer of its backend server.

    Attributes
    ----------
    instance : InstanceId
        Owner.
    latency : float
        Seconds since the call was sent.
    load : LoadState or None
        Load carried on the answer.
    failed : bool
        Whether the backend server answered with a failure of its own.
    route : RouteName
        Route of the call.
    large : bool
        Whether the answer was large.
    """

    instance: ids.InstanceId
    latency: float
    load: messages.LoadState | None
    failed: bool = False
    route: ids.RouteName = ids.RouteName('')
    large: bool = False
