"""State changes and decisions of the quarantine."""

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
# A request that completed this recently is not suspected: it did not crash the
# backend server, unless its effect depends on other state.
_COMPLETED_RECENTLY_S = 60
# About 1.3 MB. At 125 requests per second, 7,500 complete within a minute.
_MAX_COMPLETED = 8192
# Limits the memory while a whole fleet crashes repeatedly.
_MAX_SUSPECTS = 4096


@functools.singledispatch
def decide(
    event: object,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    """Apply an event to the state and return the resulting decisions.

    Parameters
    ----------
    event : object
        One of the inputs of this package, or a ``CrashSuspected`` or
        ``SuspicionCleared`` message of another owner.
    state : Quarantine
        State of this owner, changed in place.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    tuple of Permit, Hold, Refuse or Announce
        Exactly one of the first three for ``StartRequested``.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@decide.register
def _start_requested(
    event: inputs.StartRequested,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    if state.suspects:
        if state.earliest_deadline <= now:
            _expire(state, now)
        if is_quarantined.is_quarantined(state, event.fingerprint):
            return _REFUSED
        if event.fingerprint in state.suspects and _is_suspect_running(state):
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
    _record_completed(event.fingerprint, state, now)
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
    suspects_in_flight = fingerprints & state.suspects.keys()
    # Suspects never run at the same time, so a single suspect in flight is
    # taken to be the cause and the other requests are not suspected.
    only_suspect = len(suspects_in_flight) == 1
    suspected = (
        suspects_in_flight
        if only_suspect
        else _not_recently_completed(fingerprints, state, now)
    )
    reports = [
        messages.CrashSuspected(
            service=state.service,
            fingerprint=fingerprint,
            crash_id=event.crash_id,
            only_suspect=only_suspect,
        )
        for fingerprint in sorted(suspected)
    ]
    for report in reports:
        _record_report(report, state, now)
    return tuple(announce.Announce(message=message) for message in reports)


@decide.register
def _suspected(
    event: messages.CrashSuspected,
    state: quarantine.Quarantine,
    now: float,
) -> Decision:
    if event.service == state.service:
        _record_report(event, state, now)
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


def _record_report(
    report: messages.CrashSuspected,
    state: quarantine.Quarantine,
    now: float,
) -> None:
    entry = state.suspects.get(report.fingerprint)
    if entry is None:
        if len(state.suspects) >= _MAX_SUSPECTS:
            return
        entry = suspect.Suspect(deadline=now)
        state.suspects[report.fingerprint] = entry
    if report.crash_id in entry.crashes:
        return
    entry.deadline = now + _QUARANTINE_S
    state.earliest_deadline = min(state.earliest_deadline, entry.deadline)
    entry.crashes.add(report.crash_id)
    entry.only_suspect = entry.only_suspect or report.only_suspect


def _not_recently_completed(
    fingerprints: set[ids.Fingerprint],
    state: quarantine.Quarantine,
    now: float,
) -> set[ids.Fingerprint]:
    return {
        fingerprint
        for fingerprint in fingerprints
        if state.completed.get(fingerprint, 0) <= now
    }


def _record_completed(
    fingerprint: ids.Fingerprint,
    state: quarantine.Quarantine,
    now: float,
) -> None:
    state.completed[fingerprint] = now + _COMPLETED_RECENTLY_S
    state.completed.move_to_end(fingerprint)
    if len(state.completed) > _MAX_COMPLETED:
        state.completed.popitem(last=False)


def _is_suspect_running(state: quarantine.Quarantine) -> bool:
    return any(
        fingerprint in state.suspects for fingerprint in state.running.values()
    )


def _expire(state: quarantine.Quarantine, now: float) -> None:
    expired = [
        fingerprint
        for fingerprint, entry in state.suspects.items()
        if entry.deadline <= now
    ]
    for fingerprint in expired:
        state.suspects.pop(fingerprint)
    state.earliest_deadline = min(
        (entry.deadline for entry in state.suspects.values()),
        default=math.inf,
    )
