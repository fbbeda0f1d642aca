"""The whole answer of a backend server."""

import dataclasses

from medlarquay import ids
from medlarquay.messages import load_state

__all__ = ('LARGE_ANSWER_BYTES', 'CallAnswered')

#: An answer from this size on leaves in parts, between which smaller ones
#: are sent.
LARGE_ANSWER_BYTES = 16384

_FIRST_FAILURE_STATUS = 500
_TIMED_OUT_STATUS = 504


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """The whole answer of a backend server.

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
        Whether the answer was recorded by an earlier attempt.
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
        """Whether the backend server failed.

        A time limit passes also at one that works well.
        """
        failure = self.status >= _FIRST_FAILURE_STATUS
        return failure and self.status != _TIMED_OUT_STATUS

    @property
    def large(self) -> bool:
        """Whether the answer leaves in parts."""
        return len(self.body) >= LARGE_ANSWER_BYTES
