"""Transitions of the idempotency ledger."""

import functools
import math

from medlarquay import events, ids, states
from medlarquay.ledger import (
    bounds,
    inputs,
    ledger,
    placement,
    results,
    running_entry,
    settled_entry,
)

__all__ = ('Decision', 'decide')

Decision = (
    results.Proceed
    | results.Wait
    | results.Replay
    | results.ReportDropped
    | results.ReportUnknown
    | results.Refuse
)


@functools.singledispatch
def decide(
    event: object,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> Decision | None:
    """Apply an event to the ledger and return the decision on its request.

    Parameters
    ----------
    event : object
        One of the types in ``ledger.inputs``, or ``FreshnessConfirmed``.
    state : Ledger
        Ledger that the event changes.
    now, wall : float
        Monotonic and Unix time in seconds.

    Returns
    -------
    Decision or None
        A decision for ``KeyReceived``, None for all other events.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@decide.register
def _key_received(
    event: inputs.KeyReceived,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> Decision:
    _remove_expired(state, now)
    key = event.key.text
    running = state.running.get(key)
    if running is not None:
        if running.fingerprint != event.fingerprint:
            return results.Refuse(reason=states.RefusalReason.KEY_REUSED)
        return results.Wait(exchange=running.exchange)
    settled = state.settled.get(key)
    if settled is not None:
        return _decide_settled(event, settled)
    reason = placement.refusal_of_new_key(event.key, state, now, wall)
    if reason is None and state.size >= bounds.MAX_ENTRIES:
        reason = states.RefusalReason.LEDGER_FULL
    if reason is not None:
        return results.Refuse(reason=reason)
    state.running[key] = running_entry.RunningEntry(
        fingerprint=event.fingerprint,
        exchange=event.exchange,
    )
    return results.Proceed()


@decide.register
def _answered(
    event: inputs.Answered,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    size = event.answer.size
    kept = size <= bounds.MAX_ANSWER_BYTES
    if state.answer_bytes + size > bounds.MAX_TOTAL_ANSWER_BYTES:
        kept = False
    running = state.running.pop(event.key, None)
    if running is None:
        return
    if kept:
        state.answer_bytes += size
    state.settled[event.key] = settled_entry.SettledEntry(
        fingerprint=running.fingerprint,
        deadline=_entry_deadline(state, now),
        answer=event.answer if kept else None,
    )


@decide.register
def _outcome_lost(
    event: inputs.OutcomeLost,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    running = state.running.pop(event.key, None)
    if running is not None:
        state.settled[event.key] = settled_entry.SettledEntry(
            fingerprint=running.fingerprint,
            deadline=_entry_deadline(state, now),
            loss_reason=event.reason,
        )


@decide.register
def _key_released(
    event: inputs.KeyReleased,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    state.running.pop(event.key, None)


@decide.register
def _backends_replaced(
    event: inputs.BackendsReplaced,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    state.history.replace(event.instances, now)


@decide.register
def _freshness_confirmed(
    event: events.FreshnessConfirmed,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    if math.isinf(event.confirmed_at):
        # The process was paused; the source has to confirm again.
        state.paused = True
        return
    if math.isinf(event.confirmed_at):
        # The configuration discards its confirmations after a pause.
        state.paused = True
        return
    earlier = state.confirmed_at
    if earlier is not None and event.confirmed_at <= earlier:
        return
    # If the configuration went unconfirmed for longer than the convergence
    # bound, another instance may have become home and left again unnoticed.
    if earlier is None or event.confirmed_at - earlier > bounds.CONVERGENCE_S:
        state.history.forget_before(event.confirmed_at)
    state.confirmed_at = event.confirmed_at
    state.paused = False


@decide.register
def _pause_noticed(
    event: inputs.PauseNoticed,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    state.paused = True


def _decide_settled(
    event: inputs.KeyReceived,
    settled: settled_entry.SettledEntry,
) -> Decision:
    if settled.fingerprint != event.fingerprint:
        return results.Refuse(reason=states.RefusalReason.KEY_REUSED)
    if settled.loss_reason is not None:
        return results.ReportUnknown(reason=settled.loss_reason)
    if settled.answer is None:
        return results.ReportDropped()
    return results.Replay(answer=settled.answer)


def _entry_deadline(state: ledger.Ledger, now: float) -> float:
    # An accepted key may be ahead of the local wall clock by the clock error.
    return now + state.retention_s + bounds.CLOCK_ERROR_S


def _remove_expired(state: ledger.Ledger, now: float) -> None:
    while state.settled:
        key: ids.RequestKey = next(iter(state.settled))
        entry = state.settled[key]
        if entry.deadline > now:
            return
        state.settled.pop(key)
        if entry.answer is not None:
            state.answer_bytes -= entry.answer.size
