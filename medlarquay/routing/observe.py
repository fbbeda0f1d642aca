"""Update of the observations by what happened to a call."""

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

# A quarter of each new answer: about ten answers replace the old estimate.
_SMOOTHING = 0.25
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
# A machine that is back after a cut of seconds must carry its share soon; a
# try that fails costs one call a short detour.
_LONGEST_EJECTION_S = 8.0
# An owner that refused for load gets other work first for one service time
# of a usual call. Longer periods leave capacity unused after a short peak.
_FULL_S = 0.1
# Longer than the lag of the instance list, which then says leaving. A node
# that restarts under the same instance id clears it with its new link.
_DRAINING_S = 60.0
# A node that has ended is not chosen, so no new link would ever tell that its
# next run takes work; it is tried again after the time of a restart.
_RESTART_S = 1.0
# A timer this late means that the process was paused (design, section 3.3).
_PAUSE_S = 1.0

_FOR_LOAD = frozenset((
    states.RefusalReason.QUEUE_FULL,
    states.RefusalReason.DEADLINE_UNREACHABLE,
    states.RefusalReason.COLD_START,
))
_FAILED = frozenset((
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
        What happened.
    state : Observations
        Updated in place.
    now : float
        Seconds on the monotonic clock.
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
    found = state.for_instance(event.instance)
    _finish(found)
    found.note_end(now, failed=event.failed)
    if event.failed:
        # A failure may come much sooner than an answer would.
        _take_load(found, event.load, now)
        return
    _note_size(event, state)
    if not event.large:
        _note_latency(found, event.latency)
    found.failures = 0
    found.ejections = 0
    found.ejected_until = 0
    _take_load(found, event.load, now)


def _note_size(
    event: answer_observed.AnswerObserved,
    state: observations.Observations,
) -> None:
    if event.large:
        state.large_routes.add(event.route)
    else:
        state.large_routes.discard(event.route)


def _note_latency(found: observation.Observation, latency: float) -> None:
    if found.latency is None:
        found.latency = latency
    else:
        found.latency += _SMOOTHING * (latency - found.latency)


@observe.register
def _refused(
    event: refusal_observed.RefusalObserved,
    state: observations.Observations,
    now: float,
) -> None:
    found = state.for_instance(event.instance)
    _finish(found)
    if event.reason is states.RefusalReason.OWNER_UNREACHABLE:
        # A link that cannot be opened is evidence enough; waiting for more
        # would spend a call on each of them.
        found.failures = _FAILURES_TO_EJECT - 1
    if event.reason in _FAILED:
        _fail(found, state, now)
        return
    if event.reason is states.RefusalReason.SHED:
        found.note_end(now, failed=True)
    elif event.reason in _FOR_LOAD:
        found.full_until = now + _FULL_S
    elif event.reason is states.RefusalReason.DRAINING:
        found.draining_until = now + _DRAINING_S
    _take_load(found, event.load, now)


@observe.register
def _lost(
    event: loss_observed.LossObserved,
    state: observations.Observations,
    now: float,
) -> None:
    found = state.for_instance(event.instance)
    _finish(found)
    _fail(found, state, now)


@observe.register
def _withdrawn(
    event: call_withdrawn.CallWithdrawn,
    state: observations.Observations,
    now: float,
) -> None:
    _finish(state.for_instance(event.instance))


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
    # A new link is greeted before it announces draining, so an earlier
    # announcement came from an earlier run of the instance.
    state.for_instance(event.instance).draining_until = 0


@observe.register
def _peer_lost(
    event: events.PeerLost,
    state: observations.Observations,
    now: float,
) -> None:
    found = state.by_instance.get(event.instance)
    if found is not None:
        found.load = None
        found.silent_until = 0
        found.draining_until = min(found.draining_until, now + _RESTART_S)


@observe.register
def _silent(
    event: events.PeerSilent,
    state: observations.Observations,
    now: float,
) -> None:
    found = state.for_instance(event.instance)
    # It ends when the node is heard or its link is closed.
    found.silent_until = now + _LONGEST_EJECTION_S
    state.ejected_until = max(state.ejected_until, found.silent_until)


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
    if event.late <= _PAUSE_S:
        return
    # Only facts that a pause cannot make wrong are kept: the calls that
    # this process has in flight and the announcements of draining.
    state.by_instance = {
        instance: observation.Observation(
            in_flight=found.in_flight,
            draining_until=found.draining_until,
        )
        for instance, found in state.by_instance.items()
    }


def _finish(found: observation.Observation) -> None:
    found.in_flight = max(0, found.in_flight - 1)


def _fail(
    found: observation.Observation,
    state: observations.Observations,
    now: float,
) -> None:
    if now < found.ejected_until:
        # Calls sent before the ejection fail during it; they are no news.
        return
    found.failures += 1
    if found.failures < _FAILURES_TO_EJECT and not found.ejections:
        return
    period = _FIRST_EJECTION_S * 2**found.ejections
    found.ejected_until = now + min(period, _LONGEST_EJECTION_S)
    state.ejected_until = max(state.ejected_until, found.ejected_until)
    found.ejections += 1
    found.failures = 0


def _take_load(
    found: observation.Observation,
    load: messages.LoadState | None,
    now: float,
) -> None:
    if load is None:
        return
    found.load = load
    found.load_at = now
    found.in_flight_at_load = found.in_flight
