"""What the owner knows of the backend server beside it."""

import dataclasses
import math

from medlarquay import states, transport

__all__ = ('LocalBackend',)

# A backend server that does not stop at the deadline may work this long.
_HUNG_S = 600


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalBackend:
    """What the owner knows of the backend server beside it.

    Attributes
    ----------
    names : HeaderNames
        Header fields that it reads and sets.
    hung_s : float
        Seconds past the deadline of a non-idempotent request after which it
        will not answer any more, and its slot is given up.
    exclusive : bool
        Whether this node alone sends it work.
    link_bytes_per_s : float
        What the link of their machine carries; infinite when unknown.
    state : BackendState
        Whether it accepts connections.
    """

    names: transport.HeaderNames = dataclasses.field(
        default_factory=transport.HeaderNames,
    )
    hung_s: float = _HUNG_S
    exclusive: bool = False
    link_bytes_per_s: float = math.inf
    state: states.BackendState = states.BackendState.UP
