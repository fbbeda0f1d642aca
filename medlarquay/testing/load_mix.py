"""One kind of requests in a load."""

import dataclasses

__all__ = ('LoadMix',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadMix:
    """One kind of requests in a load.

    Attributes
    ----------
    name : str
        Name in the record.
    nodes : list of str
        ``host:port`` of the nodes to call, by turns.
    host : str
        Value of the ``Host`` header.
    rate : float
        Mean requests a second (exponential gaps).
    start_s, end_s : float
        When the mix begins and ends; an end of 0 is the end of the load.
    method, path : str
        Request line.
    rank : str
        Value of ``Medlarquay-Rank``, or empty.
    deadline_ms : int
        Value of ``Request-Timeout-Ms``.
    service_ms : float
        Service time at the backend server.
    keyed : bool
        Whether each request carries an idempotency key (UUIDv7).
    resends : int
        Attempts after an unknown outcome, through the next node.
    chain : str
        Hosts that the backend server calls in turn.
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
