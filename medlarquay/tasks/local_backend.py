"""Settings and state of the local backend server, as the owner sees it."""

import dataclasses
import math

from medlarquay import states, transport

__all__ = ('LocalBackend',)

# A backend server that ignores deadlines may run a request for this long.
_HUNG_AFTER_S = 600
_LEAVING_S = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalBackend:
    """Settings and state of the local backend server, as the owner sees it.

    Attributes
    ----------
    names : HeaderNames
        Names of the header fields that the backend server reads and sets.
    hung_s : float
        Time after the deadline of a non-idempotent request at which it is
        considered hung: it is aborted and its slot is freed, seconds.
    leaving_s : float
        Time from the report that it leaves for which it is still sent requests
        that were accepted before, seconds.
    exclusive : bool
        Whether only this node sends it requests.
    link_bytes_per_s : float
        Rate of the machine's network link; infinite if unknown.
    state : BackendState
        Whether the backend server accepts connections.
    """

    names: transport.HeaderNames = dataclasses.field(
        default_factory=transport.HeaderNames,
    )
    hung_s: float = _HUNG_AFTER_S
    leaving_s: float = _LEAVING_S
    exclusive: bool = False
    link_bytes_per_s: float = math.inf
    state: states.BackendState = states.BackendState.UP
