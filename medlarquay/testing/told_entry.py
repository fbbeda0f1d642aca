"""Record of a caller about one request."""

import dataclasses

__all__ = ('ToldEntry',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ToldEntry:
    """Record of a caller about one request, over all its attempts.

    Attributes
    ----------
    request : str
        Value of ``x-request-id`` on every attempt.
    mix : str
        Name of the load mix.
    key : str
        Idempotency key, or empty.
    idempotent : bool
        Whether the method is idempotent.
    sent_at : float
        Unix time in seconds of the first attempt.
    latency_ms : float
        Time from the first attempt to the last answer.
    status : int
        HTTP status of the last answer; 0 when the connection was lost.
    reason : str
        ``Medlarquay-Reason`` of the last answer.
    body_bytes : int
        Size of the body of the last answer.
    outcomes : list of str
        Outcome of each attempt: ``run``, ``not-run``, ``unknown``, or
        ``none`` when no answer arrived in time.
    foreign : bool
        Whether an answer belonged to another request.
    """

    request: str
    mix: str
    key: str
    idempotent: bool
    sent_at: float
    latency_ms: float = 0
    status: int = 0
    reason: str = ''
    body_bytes: int = 0
    outcomes: list[str] = dataclasses.field(default_factory=list)
    foreign: bool = False

    @property
    def told(self) -> str:
        """Outcome of the request over all its attempts.

        The first of ``run``, ``none`` and ``unknown`` that any attempt had,
        regardless of the order of the attempts; otherwise ``not-run``, or
        ``none`` before the first outcome.
        """
        for outcome in ('run', 'none', 'unknown'):
            if outcome in self.outcomes:
                return outcome
        return 'not-run' if self.outcomes else 'none'
