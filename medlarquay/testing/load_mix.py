"""Requests of one kind within a load."""

import dataclasses

__all__ = ('LoadMix',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadMix:
    """Requests of one kind within a load.

    Attributes
    ----------
    name : str
        Name in the record.
    nodes : list of str
        ``host:port`` of the nodes to call, in round-robin order.
    host : str
        Value of the ``Host`` header.
    rate : float
        Mean number of requests a second; the intervals are exponential.
    start_s, end_s : float
        Start and end in seconds from the start of the load; an end of 0 is
        the end of the load.
    method, path : str
        Method and target of the request line.
    rank : str
        Value of ``Medlarquay-Rank``; empty to omit it.
    deadline_ms : int
        Value of ``Request-Timeout-Ms``.
    service_ms : float
        Service time at the backend server; 0 for its default.
    keyed : bool
        Whether each request carries an idempotency key (UUIDv7).
    resends : int
        Maximum number of further attempts after an unknown outcome, each
        through the next node.
    chain : str
        Comma-separated hosts that the backend server calls in turn; empty
        for none.
    """

    name: str
    nodes: list[str]
    host: str
    rate: float
    start_s: float = 0
    end_s: float = 0
    method: str = 'GET'
    path: str = '/'
    rank: str = ''
    deadline_ms: int = 2000
    service_ms: float = 0
    keyed: bool = False
    resends: int = 0
    chain: str = ''
