"""Behaviour of the backend server double that a test can change."""

import dataclasses

__all__ = ('BackendSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendSettings:
    """Behaviour of the backend server double that a test can change.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    queue_limit : int
        Requests that wait for a slot (FIFO); further ones are shed.
    service_ms : float
        Service time of a request that names none.
    cold_start_ms : int
        Time after the start during which requests take longer.
    cold_factor : float
        Factor on the service time at the start; falls linearly to 1.
    draining : bool
        Whether every new request is shed.
    failing : bool
        Whether every request is shed and counted as an attempt.
    report_lag_ms : int
        Age of what the health and load endpoints report.
    reported_health : str
        Health that is reported whatever is true; empty for the true one.
    reported_load : int
        Running requests reported whatever is true; -1 for the true number.
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
