"""Behaviour of the backend server double that a test can change."""

import dataclasses

__all__ = ('BackendSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendSettings:
    """Behaviour of the backend server double that a test can change.

    Attributes
    ----------
    slots : int
        Maximum number of requests that run at once.
    queue_limit : int
        Maximum number of requests in the FIFO queue for a slot; requests
        beyond it are shed.
    service_ms : float
        Service time of a request that states none.
    cold_start_ms : int
        Time after the start during which requests take longer.
    cold_factor : float
        Factor on the service time at the start; falls linearly to 1 during
        the cold start.
    draining : bool
        Whether every new request is shed and the health is ``draining``.
    failing : bool
        Whether every request is shed without a change of the health; each
        is still counted as received.
    report_lag_ms : int
        Lag of the health and load reports behind the actual values.
    reported_health : str
        Health to report instead of the actual one; empty to report the
        actual one.
    reported_load : int
        Number of running requests to report instead of the actual one; -1
        to report the actual one.
    """

    slots: int = 6
    queue_limit: int = 64
    service_ms: float = 0
    cold_start_ms: int = 0
    cold_factor: float = 4
    draining: bool = False
    failing: bool = False
    report_lag_ms: int = 0
    reported_health: str = ''
    reported_load: int = -1
