"""Expected wait of a new call at a backend server."""

import dataclasses

from medlarquay import replica
from medlarquay.routing import observation

__all__ = ('Estimate', 'estimate_wait', 'is_busy')

# The weight of a load report falls with its age, to zero after this time.
_LOAD_MAX_AGE_S = 1.0
# A backend server that is avoided as slow sends no new report; it is tried
# again after this time.
_SERVICE_TIME_MAX_AGE_S = 3.0
# Assumed service time before any answer or report.
_DEFAULT_SERVICE_TIME_S = 0.01
# Expected cost of a failed attempt, which is retried elsewhere, if at all.
_FAILURE_COST_S = 0.2
# Two losses in a row are no pattern yet and stay below this rate; above it, a
# backend server counts as having no free slot, so other zones compete too.
_MIN_FAILURE_RATE = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Expected wait of a new call at a backend server.

    Attributes
    ----------
    wait : float
        Expected seconds until the call starts, failure cost included.
    service_time : float
        Seconds from its start to its answer; 0 without a recent load report.
    has_free_slot : bool
        Whether a slot is expected to be free.
    in_flight_per_slot : float
        Calls of this ingress in flight per slot; decides between backend
        servers that would start the call at once.
    """

    wait: float
    service_time: float
    has_free_slot: bool
    in_flight_per_slot: float


def estimate_wait(
    backend: replica.InstanceRecord,
    observed: observation.Observation | None,
    *,
    now: float,
    large: bool = False,
) -> Estimate:
    """Estimate the wait of a new call at a backend server.

    Parameters
    ----------
    backend : InstanceRecord
        Backend server; its slots limit the slots of any load report.
    observed : Observation or None
        Observation of it; None before the first call.
    now : float
        Seconds on the monotonic clock.
    large : bool
        Whether a large answer is expected, which waits for the link of the
        machine.

    Returns
    -------
    Estimate

    Notes
    -----
    The ingress counts its own calls in flight exactly. A load report adds the
    calls of other ingresses. The wait derived from a report is limited to the
    latency that this ingress measured: answers that took 5 ms in all cannot
    have waited longer. So a wrong report can change the order of backend
    servers that are nearly equal, but cannot move calls to another region.
    """
    if observed is None:
        return Estimate(
            wait=0, service_time=0, has_free_slot=True, in_flight_per_slot=0
        )
    slots = max(1, backend.slots)
    service_time = _service_time(observed)
    excess = observed.in_flight + 1 - slots
    own_wait = max(0, excess) * service_time / slots
    reported_wait = _reported_wait(observed, slots, now)
    if observed.latency is not None:
        reported_wait = min(reported_wait, observed.latency)
    failure_rate = observed.decayed_failure_rate(now)
    if failure_rate < _MIN_FAILURE_RATE:
        failure_rate = 0
    # The wait for the link does not count against a free slot: a wait that
    # ends in time is no reason to send a large answer between regions, where
    # traffic is paid by volume.
    link_wait = _link_wait(observed, now) if large else 0
    has_room = excess <= 0 and reported_wait <= 0 and observed.full_until <= now
    return Estimate(
        wait=max(own_wait, reported_wait, link_wait)
        + failure_rate * _FAILURE_COST_S,
        service_time=_recent_service_time(observed, now),
        has_free_slot=has_room and not failure_rate,
        in_flight_per_slot=observed.in_flight / slots,
    )


def is_busy(observed: observation.Observation | None, now: float) -> bool:
    """Return whether a backend server or the link of its machine is full."""
    if observed is None:
        return False
    return observed.full_until > now or _link_wait(observed, now) > 0


def _link_wait(observed: observation.Observation, now: float) -> float:
    """Return the remaining seconds of a reported wait for the link."""
    elapsed = now - observed.load_at
    if observed.load is None or elapsed > _LOAD_MAX_AGE_S:
        return 0
    return max(0, observed.load.link_wait - elapsed)


def _recent_service_time(
    observed: observation.Observation, now: float
) -> float:
    if (
        observed.load is None
        or now - observed.load_at > _SERVICE_TIME_MAX_AGE_S
    ):
        return 0
    if observed.latency is None:
        return observed.load.service_time
    # Limits the effect of a wrong report to that of the measured latency.
    return min(observed.load.service_time, observed.latency)


def _service_time(observed: observation.Observation) -> float:
    if observed.latency is not None:
        return observed.latency
    if observed.load is not None and observed.load.service_time > 0:
        return observed.load.service_time
    return _DEFAULT_SERVICE_TIME_S


def _reported_wait(
    observed: observation.Observation,
    slots: int,
    now: float,
) -> float:
    load = observed.load
    if load is None:
        return 0
    weight = 1 - (now - observed.load_at) / _LOAD_MAX_AGE_S
    if weight <= 0:
        return 0
    reported_slots = min(max(1, load.slots), slots)
    other_calls = max(
        0, load.running + load.queued - observed.in_flight_at_load
    )
    excess = other_calls * weight + observed.in_flight + 1 - reported_slots
    return max(0, excess) * _service_time(observed) / reported_slots
