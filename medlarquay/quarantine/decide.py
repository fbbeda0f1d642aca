"""Decisions of the quarantine."""

import functools
import math

from medlarquay import ids, messages
from medlarquay.quarantine import (
    announce,
    hold,
    inputs,
    is_quarantined,
    permit,
    quarantine,
    refuse,
    suspect,
)

__all__ = ('Decision', 'decide')

Decision = tuple[
    permit.Permit | hold.Hold | refuse.Refuse | announce.Announce, ...
]

_PERMITTED = (permit.Permit(),)
_HELD = (hold.Hold(),)
_REFUSED = (refuse.Refuse(),)

_QUARANTINE_S = 600
# A request that completed this recently did not crash the backend server
# unless its effect depends on other state.
_COMPLETED_RECENTLY_S = 60
# About 1.3 MB; at 125 requests a second a minute holds 7,500.
_MAX_COMPLETED = 8192
# Bounds the memory when a whole fleet crashes again and again.
_MAX_SUSPECTS = 4096


@functools.singledispatch
def decide(
    event: object,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    """Change the state for an event and return what is to be done.

    Parameters
    ----------
    event : object
        One of the inputs of this package, ``CrashSuspected`` or
        ``SuspicionCleared``.
    state : Quarantine
        State that the event changes.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    tuple of Permit, Hold, Refuse or Announce
        ``StartAsked`` is answered by exactly one of the first three.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@decide.register
def _start_asked(
    event: inputs.StartAsked,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    if state.suspects:
        if state.expire_at <= now:
            _expire(state, now)
        if is_quarantined.is_quarantined(state, event.fingerprint):
            return _REFUSED
        if event.fingerprint in state.suspects and _suspect_runs(state):
            return _HELD
    state.running[event.exchange] = event.fingerprint
    return _PERMITTED


@decide.register
def _completed(
    event: inputs.Completed,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    state.running.pop(event.exchange, None)
    _remember_completed(event.fingerprint, state, now)
    if state.suspects.pop(event.fingerprint, None) is None:
        return ()
    cleared = messages.SuspicionCleared(
        service=state.service,
        fingerprint=event.fingerprint,
    )
    return (announce.Announce(message=cleared),)


@decide.register
def _stopped(
    event: inputs.Stopped,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    state.running.pop(event.exchange, None)
    return ()


@decide.register
def _crashed(
    event: inputs.BackendCrashed,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    for exchange in event.in_flight:
        state.running.pop(exchange, None)
    fingerprints = set(event.in_flight.values())
    known = fingerprints & state.suspects.keys()
    # Suspects never run together, so a suspect in flight is the only one and
    # the requests beside it are not suspected.
    alone = len(known) == 1
    blamed = known if alone else _not_completed(fingerprints, state, now)
    reports = [
        messages.CrashSuspected(
            service=state.service,
            fingerprint=fingerprint,
            crash=event.crash,
            alone=alone,
        )
        for fingerprint in sorted(blamed)
    ]
    for report in reports:
        _merge(report, state, now)
    return tuple(announce.Announce(message=sent) for sent in reports)


@decide.register
def _suspected(
    event: messages.CrashSuspected,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    if event.service == state.service:
        _merge(event, state, now)
    return ()


@decide.register
def _cleared(
    event: messages.SuspicionCleared,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    if event.service == state.service:
        state.suspects.pop(event.fingerprint, None)
    return ()


def _merge(
    report: messages.CrashSuspected,
    state: quarantine.Quarantine,
    now: float,
) -> None:
    found = state.suspects.get(report.fingerprint)
    if found is None:
        if len(state.suspects) >= _MAX_SUSPECTS:
            return
        found = suspect.Suspect(deadline=now)
        state.suspects[report.fingerprint] = found
    if report.crash in found.crashes:
        return
    found.deadline = now + _QUARANTINE_S
    state.expire_at = min(state.expire_at, found.deadline)
    found.crashes.add(report.crash)
    found.alone = found.alone or report.alone


def _not_completed(
    fingerprints: set[ids.Fingerprint],
    state: quarantine.Quarantine,
    now: float,
) -> set[ids.Fingerprint]:
    return {
        fingerprint
        for fingerprint in fingerprints
        if state.completed.get(fingerprint, 0) <= now
    }


def _remember_completed(
    fingerprint: ids.Fingerprint,
    state: quarantine.Quarantine,
    now: float,
) -> None:
    state.completed[fingerprint] = now + _COMPLETED_RECENTLY_S
    state.completed.move_to_end(fingerprint)
    if len(state.completed) > _MAX_COMPLETED:
        state.completed.popitem(last=False)


def _suspect_runs(state: quarantine.Quarantine) -> bool:
    return any(
        fingerprint in state.suspects for fingerprint in state.running.values()
    )


def _expire(state: quarantine.Quarantine, now: float) -> None:
    passed = [
        fingerprint
        for fingerprint, entry in state.suspects.items()
        if entry.deadline <= now
    ]
    for fingerprint in passed:
        state.suspects.pop(fingerprint)
    state.expire_at = min(
        (entry.deadline for entry in state.suspects.values()),
        default=math.inf,
    )
