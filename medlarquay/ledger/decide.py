"""Decisions of the ledger."""

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
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> Decision | None:
    """Change the ledger for an event and return what is to be done.

    Parameters
    ----------
    event : object
        One of the inputs of this package, or ``FreshnessConfirmed``.
    book : Ledger
        State that the event changes.
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
def _presented(
    event: inputs.KeyReceived,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> Decision:
    _expire(book, now)
    key = event.key.text
    running = book.running.get(key)
    if running is not None:
        if running.fingerprint != event.fingerprint:
            return results.Refuse(reason=states.RefusalReason.KEY_REUSED)
        return results.Wait(exchange=running.exchange)
    settled = book.settled.get(key)
    if settled is not None:
        return _repeat(event, settled)
    reason = placement.refusal_of_new_key(event.key, book, now, wall)
    if reason is None and book.size >= bounds.MAX_ENTRIES:
        reason = states.RefusalReason.LEDGER_FULL
    if reason is not None:
        return results.Refuse(reason=reason)
    book.running[key] = running_entry.RunningEntry(
        fingerprint=event.fingerprint,
        exchange=event.exchange,
    )
    return results.Proceed()


@decide.register
def _answered(
    event: inputs.Answered,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    size = event.answer.size
    kept = size <= bounds.MAX_ANSWER_BYTES
    if book.answer_bytes + size > bounds.MAX_TOTAL_ANSWER_BYTES:
        kept = False
    running = book.running.pop(event.key, None)
    if running is None:
        return
    if kept:
        book.answer_bytes += size
    book.settled[event.key] = settled_entry.SettledEntry(
        fingerprint=running.fingerprint,
        deadline=_deadline(book, now),
        answer=event.answer if kept else None,
    )


@decide.register
def _outcome_lost(
    event: inputs.OutcomeLost,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    running = book.running.pop(event.key, None)
    if running is not None:
        book.settled[event.key] = settled_entry.SettledEntry(
            fingerprint=running.fingerprint,
            deadline=_deadline(book, now),
            loss_reason=event.reason,
        )


@decide.register
def _withdrawn(
    event: inputs.KeyReleased,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    book.running.pop(event.key, None)


@decide.register
def _replaced(
    event: inputs.EndpointsReplaced,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    book.history.replace(event.instances, now)


@decide.register
def _confirmed(
    event: events.FreshnessConfirmed,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    if math.isinf(event.confirmed_at):
        # The process was paused; the source has to confirm again.
        book.paused = True
        return
    if math.isinf(event.confirmed_at):
        # The configuration forgot its confirmations after a pause.
        book.paused = True
        return
    earlier = book.confirmed_at
    if earlier is not None and event.confirmed_at <= earlier:
        return
    # Another instance may have been home and left again in such a gap.
    if earlier is None or event.confirmed_at - earlier > bounds.CONVERGENCE_S:
        book.history.forget_before(event.confirmed_at)
    book.confirmed_at = event.confirmed_at
    book.paused = False


@decide.register
def _paused(
    event: inputs.PauseNoticed,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> None:
    book.paused = True


def _repeat(
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


def _deadline(book: ledger.Ledger, now: float) -> float:
    # A key may be this much ahead of the local wall clock when it is accepted.
    return now + book.retention_s + bounds.CLOCK_ERROR_S


def _expire(book: ledger.Ledger, now: float) -> None:
    while book.settled:
        key: ids.RequestKey = next(iter(book.settled))
        entry = book.settled[key]
        if entry.deadline > now:
            return
        book.settled.pop(key)
        if entry.answer is not None:
            book.answer_bytes -= entry.answer.size
