"""Rank, deadline and key of a request, within the limits of its route."""

import dataclasses

from medlarquay import keys, states

__all__ = ('CallParameters',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallParameters:
    """Rank, deadline and key of a request, within the limits of its route.

    Attributes
    ----------
    rank : Rank
        Priority class.
    deadline : float
        Deadline at the owner, seconds on the monotonic clock.
    due : float
        Target time of the answer, on the same clock; a later answer is worth
        less.
    idempotent : bool
        Whether the request may run more than once.
    key : BoundKey, PlainKey or None
        Idempotency key of a non-idempotent request.
    """

    rank: states.Rank
    deadline: float
    due: float
    idempotent: bool
    key: keys.BoundKey | keys.PlainKey | None
