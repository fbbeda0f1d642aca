"""Expected wait of a new call at a backend server."""

import dataclasses

from medlarquay import replica
from medlarquay.routing import observation

__all__ = ('Estimate', 'estimate', 'is_busy')

# A report is believed less the older it is, and not at all after this time.
_LOAD_LIFE_S = 1.0
# A server that is avoided for its speed sends no news; it is tried again
# after this time.
_SPEED_LIFE_S = 3.0
# Service time assumed before anything is known.
_DEFAULT_SERVICE_S = 0.01
# What a failed attempt costs: it is made again elsewhere, if at all.
_FAILURE_COST_S = 0.2
# Two losses in a row are no pattern yet; servers that fail more often are
# compared with those of other zones.
_DOUBTFUL = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Expected wait of a new call at a backend server.

    Attributes
    ----------
    wait : float
        Seconds until it starts.
    service : float
        Seconds from its start to its answer; 0 if nothing recent is known.
    free : bool
        Whether a slot is expected to be free.
    share : float
        Calls of this ingress in flight for each slot; decides between
        servers that would start the call at once.
    """

    wait: float
    service: float
    free: bool
    share: float


def estimate(
    backend: replica.InstanceRecord,
    found: observation.Observation | None,
    *,
    now: float,
    large: bool = False,
) -> Estimate:
    """Estimate the wait of a new call.

    Parameters
    ----------
    backend : InstanceRecord
        Backend server; its slots are the upper limit of any report.
    found : Observation or None
        What this ingress observed of it.
    now : float
        Seconds on the monotonic clock.
    large : bool
        Whether a large answer is expected, which waits for the link of the
        machine.

    Notes
    -----
    The ingress counts its own calls in flight exactly. What a report adds
    to them is the work of other ingresses, and the wait that it stands for
    is bounded by the latency that this ingress measured: answers that took
    5 ms in all cannot have waited longer. So a wrong report changes the
    order between near equals, and cannot move work to another region.
    """
    if found is None:
        return Estimate(wait=0, service=0, free=True, share=0)
    slots = max(1, backend.slots)
    service = _service_time(found)
    own = found.in_flight + 1 - slots
    own_wait = max(0, own) * service / slots
    reported = _reported_wait(found, slots, now)
    if found.latency is not None:
        reported = min(reported, found.latency)
    failing = found.failing_share(now)
    if failing < _DOUBTFUL:
        failing = 0
    # It does not make a slot less free: a wait that ends in time is no reason
    # to send a large answer between regions, which is paid by volume.
    link_wait = _link_wait(found, now) if large else 0
    roomy = own <= 0 and reported <= 0 and found.full_until <= now
    return Estimate(
        wait=max(own_wait, reported, link_wait) + failing * _FAILURE_COST_S,
        service=_recent_service(found, now),
        free=roomy and not failing,
        share=found.in_flight / slots,
    )


def is_busy(found: observation.Observation | None, now: float) -> bool:
    """Tell whether a backend server or the link of its machine is full."""
    if found is None:
        return False
    return found.full_until > now or _link_wait(found, now) > 0


def _link_wait(found: observation.Observation, now: float) -> float:
    """Return what is left of a reported wait for the link."""
    elapsed = now - found.load_at
    if found.load is None or elapsed > _LOAD_LIFE_S:
        return 0
    return max(0, found.load.link_wait - elapsed)


def _recent_service(found: observation.Observation, now: float) -> float:
    if found.load is None or now - found.load_at > _SPEED_LIFE_S:
        return 0
    if found.latency is None:
        return found.load.service_time
    # A wrong report moves no work further than the measured latency does.
    return min(found.load.service_time, found.latency)


def _service_time(found: observation.Observation) -> float:
    if found.latency is not None:
        return found.latency
    if found.load is not None and found.load.service_time > 0:
        return found.load.service_time
    return _DEFAULT_SERVICE_S


def _reported_wait(
    found: observation.Observation,
    slots: int,
    now: float,
) -> float:
    load = found.load
    if load is None:
        return 0
    belief = 1 - (now - found.load_at) / _LOAD_LIFE_S
    if belief <= 0:
        return 0
    usable = min(max(1, load.slots), slots)
    others = max(0, load.running + load.queued - found.in_flight_at_load)
    excess = others * belief + found.in_flight + 1 - usable
    return max(0, excess) * _service_time(found) / usable
