"""Update of the observations by events of calls and nodes."""

import functools

from medlarquay import events, messages, states
from medlarquay.routing import (
    answer_observed,
    call_sent,
    call_withdrawn,
    loss_observed,
    observation,
    observations,
    refusal_observed,
)

__all__ = ('observe',)

# Weight of a new answer; about ten answers replace the old estimate.
_SMOOTHING = 0.25
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
# A machine that was cut off for seconds must take its share of calls soon
# after; a failed trial costs one call only a short detour.
_MAX_EJECTION_S = 8.0
# After a refusal for load, other owners are preferred for the service time of
# a typical call. A longer period leaves capacity unused after a short peak.
_OVERLOAD_S = 0.1
# Longer than the lag of the instance list, which then marks the instance as
# leaving. A node that restarts under the same instance id clears it with its
# new link.
_DRAINING_S = 60.0
# A draining node whose link is lost is not chosen, so no new link would show
# that its next incarnation accepts calls. It is tried again after the time of
# a restart.
_RESTART_TIME_S = 1.0
# A timer that is later than this means that the process was paused (design,
# section 3.3).
_MIN_PAUSE_S = 1.0

_LOAD_REFUSALS = frozenset((
    states.RefusalReason.QUEUE_FULL,
    states.RefusalReason.DEADLINE_UNREACHABLE,
    states.RefusalReason.COLD_START,
))
_FAILURE_REFUSALS = frozenset((
    states.RefusalReason.OWNER_UNREACHABLE,
    states.RefusalReason.BACKEND_DOWN,
))


@functools.singledispatch
def observe(
    event: object,
    state: observations.Observations,
    now: float,
) -> None:
    """Update the observations.

    Parameters
    ----------
    event : CallSent, AnswerObserved, RefusalObserved, LossObserved, \
CallWithdrawn, Draining, PeerGreeted, PeerSilent, PeerHeard, PeerLost or Tick
        Event to record.
    state : Observations
        Observations, updated in place.
    now : float
        Seconds on the monotonic clock.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@observe.register
def _sent(
    event: call_sent.CallSent,
    state: observations.Observations,
    now: float,
) -> None:
    state.for_instance(event.instance).in_flight += 1


@observe.register
def _answered(
    event: answer_observed.AnswerObserved,
    state: observations.Observations,
    now: float,
) -> None:
    observed = state.for_instance(event.instance)
    _count_finished(observed)
    observed.record_result(now, failed=event.failed)
    if event.failed:
        # A failure may arrive much sooner than a successful answer would, so
        # its latency is not recorded.
        _record_load(observed, event.load, now)
        return
    _record_answer_size(event, state)
    if not event.large:
        _record_latency(observed, event.latency)
    observed.failures = 0
    observed.ejections = 0
    observed.ejected_until = 0
    _record_load(observed, event.load, now)


def _record_answer_size(
    event: answer_observed.AnswerObserved,
    state: observations.Observations,
) -> None:
    if event.large:
        state.large_routes.add(event.route)
    else:
        state.large_routes.discard(event.route)


def _record_latency(observed: observation.Observation, latency: float) -> None:
    if observed.latency is None:
        observed.latency = latency
    else:
        observed.latency += _SMOOTHING * (latency - observed.latency)


@observe.register
def _refused(
    event: refusal_observed.RefusalObserved,
    state: observations.Observations,
    now: float,
) -> None:
    observed = state.for_instance(event.instance)
    _count_finished(observed)
    if event.reason is states.RefusalReason.OWNER_UNREACHABLE:
        # One failure to open a link is enough to eject; each further failure
        # needed would cost another call.
        observed.failures = _FAILURES_TO_EJECT - 1
    if event.reason in _FAILURE_REFUSALS:
        _record_failure(observed, state, now)
        return
    if event.reason is states.RefusalReason.SHED:
        observed.record_result(now, failed=True)
    elif event.reason in _LOAD_REFUSALS:
        observed.full_until = now + _OVERLOAD_S
    elif event.reason is states.RefusalReason.DRAINING:
        observed.draining_until = now + _DRAINING_S
    _record_load(observed, event.load, now)


@observe.register
def _lost(
    event: loss_observed.LossObserved,
    state: observations.Observations,
    now: float,
) -> None:
    observed = state.for_instance(event.instance)
    _count_finished(observed)
    _record_failure(observed, state, now)


@observe.register
def _withdrawn(
    event: call_withdrawn.CallWithdrawn,
    state: observations.Observations,
    now: float,
) -> None:
    _count_finished(state.for_instance(event.instance))


@observe.register
def _draining(
    event: messages.Draining,
    state: observations.Observations,
    now: float,
) -> None:
    state.for_instance(event.instance).draining_until = now + _DRAINING_S


@observe.register
def _greeted(
    event: events.PeerGreeted,
    state: observations.Observations,
    now: float,
) -> None:
    # The greeting of a new link precedes any announcement of draining, so an
    # earlier announcement came from an earlier incarnation.
    state.for_instance(event.instance).draining_until = 0


@observe.register
def _peer_lost(
    event: events.PeerLost,
    state: observations.Observations,
    now: float,
) -> None:
    observed = state.by_instance.get(event.instance)
    if observed is not None:
        observed.load = None
        observed.silent_until = 0
        observed.draining_until = min(
            observed.draining_until, now + _RESTART_TIME_S
        )


@observe.register
def _silent(
    event: events.PeerSilent,
    state: observations.Observations,
    now: float,
) -> None:
    observed = state.for_instance(event.instance)
    # Cleared early when the node is heard again or its link is closed.
    observed.silent_until = now + _MAX_EJECTION_S
    state.ejected_until = max(state.ejected_until, observed.silent_until)


@observe.register
def _heard(
    event: events.PeerHeard,
    state: observations.Observations,
    now: float,
) -> None:
    state.for_instance(event.instance).silent_until = 0


@observe.register
def _ticked(
    event: events.Tick,
    state: observations.Observations,
    now: float,
) -> None:
    if event.lag_s <= _MIN_PAUSE_S:
        return
    # Keep only what a pause cannot make stale: the calls that this process has
    # in flight and the announcements of draining.
    state.by_instance = {
        instance: observation.Observation(
            in_flight=observed.in_flight,
            draining_until=observed.draining_until,
        )
        for instance, observed in state.by_instance.items()
    }


def _count_finished(observed: observation.Observation) -> None:
    observed.in_flight = max(0, observed.in_flight - 1)


def _record_failure(
    observed: observation.Observation,
    state: observations.Observations,
    now: float,
) -> None:
    if now < observed.ejected_until:
        # A call sent before the ejection that fails during it is no new
        # evidence.
        return
    observed.failures += 1
    if observed.failures < _FAILURES_TO_EJECT and not observed.ejections:
        return
    period = _FIRST_EJECTION_S * 2**observed.ejections
    observed.ejected_until = now + min(period, _MAX_EJECTION_S)
    state.ejected_until = max(state.ejected_until, observed.ejected_until)
    observed.ejections += 1
    observed.failures = 0


def _record_load(
    observed: observation.Observation,
    load: messages.LoadState | None,
    now: float,
) -> None:
    if load is None:
        return
    observed.load = load
    observed.load_at = now
    observed.in_flight_at_load = observed.in_flight
