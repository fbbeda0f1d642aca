"""The answer of a backend server to a call."""

import dataclasses

from medlarquay import ids
from medlarquay.messages import large_body, load_state

__all__ = ('CallAnswered',)

_FIRST_FAILURE_STATUS = 500
_TIMED_OUT_STATUS = 504


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """The answer of a backend server to a call.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call.
    status : int
        HTTP status.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    load : load_state.LoadState | None
        Load of the owner, if known.
    replayed : bool
        Whether the answer is that of an earlier attempt, replayed.
    retry_allowed : bool
        False when retries were exhausted further down the call chain.
    """

    call_id: ids.CallId
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    load: load_state.LoadState | None = None
    replayed: bool = False
    retry_allowed: bool = True

    @property
    def failed(self) -> bool:
        """Whether the answer counts as a failure of the backend server.

        Status 504 does not: a time limit may also pass at a healthy one.
        """
        failure = self.status >= _FIRST_FAILURE_STATUS
        return failure and self.status != _TIMED_OUT_STATUS

    @property
    def large(self) -> bool:
        """Whether the answer is sent in fragments."""
        return len(self.body) >= large_body.LARGE_BODY_BYTES
