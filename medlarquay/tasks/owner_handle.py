"""Handlers of the messages to the owner task."""

import functools

from medlarquay import (
    admission,
    events,
    ids,
    ledger,
    quarantine,
    states,
)
from medlarquay.tasks import (
    owner_arrival,
    owner_base,
    owner_deadlines,
    owner_misdirected,
    owner_offers,
    owner_results,
    owner_snapshot,
    owner_starts,
)

__all__ = ('handle',)

# A timer that fires later than this shows that the process was paused.
_MIN_PAUSE_S = 1


@functools.singledispatch
def handle(message: object, owner: owner_base.OwnerBase) -> None:
    """Handle one message to the owner task."""
    raise TypeError(f'unexpected message {type(message).__name__}')


@handle.register
def _run_call(message: events.RunCall, owner: owner_base.OwnerBase) -> None:
    _release_offer(message.link, message.request.call_id, owner)
    owner_arrival.accept(message, owner)


@handle.register
def _offer_call(message: events.OfferCall, owner: owner_base.OwnerBase) -> None:
    owner_offers.handle_offer(message, owner)


@handle.register
def _backend_answered(
    message: events.BackendAnswered,
    owner: owner_base.OwnerBase,
) -> None:
    job = owner.jobs.find(message.exchange)
    if job is None:
        return
    if owner_misdirected.is_misdirected(message, owner):
        owner_misdirected.end_misdirected(job, owner)
        return
    if any(
        name == owner.local_backend.names.not_run for name, _ in message.headers
    ):
        owner_results.notify_quarantine_stopped(job, owner)
        shed = admission.RequestShed(exchange=job.exchange)
        decisions = admission.decide(shed, owner.admission, owner.now())
        owner_results.refuse_job(job, states.RefusalReason.SHED, owner)
    else:
        completed = quarantine.Completed(
            exchange=job.exchange,
            fingerprint=job.fingerprint,
        )
        _apply_quarantine_event(completed, owner)
        finished = admission.RequestFinished(
            exchange=job.exchange,
            answer_bytes=len(message.body),
            link_bytes=len(message.body) * job.remote_attempts,
        )
        decisions = admission.decide(finished, owner.admission, owner.now())
        owner_results.answer_job(job, message, owner)
    owner_starts.carry_out(decisions, owner)
    owner_starts.readmit_held(owner)


@handle.register
def _uplink_changed(
    message: events.UplinkChanged,
    owner: owner_base.OwnerBase,
) -> None:
    changed = admission.LinkBacklogChanged(free_at=message.free_at)
    owner_starts.apply_admission_event(changed, owner)


@handle.register
def _backend_failed(
    message: events.BackendFailed,
    owner: owner_base.OwnerBase,
) -> None:
    job = owner.jobs.find(message.exchange)
    if job is None:
        return
    owner_results.notify_quarantine_stopped(job, owner)
    if message.too_large:
        reason = states.RefusalReason.ANSWER_TOO_LARGE
    elif message.sent:
        reason = states.RefusalReason.BACKEND_LOST
    elif job.request.deadline <= owner.now():
        reason = states.RefusalReason.DEADLINE_PASSED
    else:
        reason = states.RefusalReason.BACKEND_DOWN
    if message.sent:
        owner_results.end_job_unknown(job, reason, owner)
    else:
        owner_results.refuse_job(job, reason, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.apply_admission_event(freed, owner)
    owner_starts.readmit_held(owner)


@handle.register
def _backend_crashed(
    message: events.BackendCrashed,
    owner: owner_base.OwnerBase,
) -> None:
    matches = (owner.jobs.find(exchange) for exchange in message.exchanges)
    jobs = [entry for entry in matches if entry is not None]
    for job in jobs:
        owner_results.record_job(
            job,
            states.Outcome.UNKNOWN,
            owner,
            reason=states.RefusalReason.BACKEND_LOST,
        )
    crashed = quarantine.BackendCrashed(
        crash_id=owner.next_crash_id(),
        in_flight={suspect.exchange: suspect.fingerprint for suspect in jobs},
    )
    _apply_quarantine_event(crashed, owner)


@handle.register
def _backend_changed(
    message: events.BackendChanged,
    owner: owner_base.OwnerBase,
) -> None:
    owner.local_backend.state = message.state
    if message.state is states.BackendState.UP:
        owner_starts.apply_admission_event(admission.BackendStarted(), owner)
        return
    reason = states.RefusalReason.BACKEND_DOWN
    owner_starts.apply_admission_event(
        admission.QueuesEmptied(reason=reason), owner
    )
    owner_offers.refuse_offers(reason, owner)
    owner_starts.readmit_held(owner)


@handle.register
def _cancel_call(
    message: events.CancelCall, owner: owner_base.OwnerBase
) -> None:
    _release_offer(message.link, message.call_id, owner)
    job = owner.jobs.remove_attempt(message.link, message.call_id)
    if job is None or job.attempts:
        return
    if not job.sent:
        owner_deadlines.withdraw(job, owner)
    elif job.key is None:
        owner_deadlines.abort(job, owner)


@handle.register
def _link_closed(
    message: events.LinkClosed,
    owner: owner_base.OwnerBase,
) -> None:
    owner.intake.release_link(message.link)
    owner_offers.advance_offers(owner)
    abandoned = owner.jobs.remove_attempts_on(message.link)
    # Queued requests are withdrawn first: an abort frees a slot, and a queued
    # request would be started in it.
    for queued in abandoned:
        if not queued.sent:
            owner_deadlines.withdraw(queued, owner)
    for job in abandoned:
        if job.sent and job.request.idempotent:
            owner_deadlines.abort(job, owner)


@handle.register
def _snapshot_replaced(
    message: events.SnapshotReplaced,
    owner: owner_base.OwnerBase,
) -> None:
    owner_snapshot.apply_snapshot(message.snapshot, owner)
    if owner.draining:
        owner_offers.refuse_offers(states.RefusalReason.DRAINING, owner)


@handle.register
def _freshness_confirmed(
    message: events.FreshnessConfirmed,
    owner: owner_base.OwnerBase,
) -> None:
    # After a pause of the process the time is unknown; the last one known still
    # bounds that of a departure.
    owner.departure.list_confirmed_at = max(
        owner.departure.list_confirmed_at, message.list_confirmed_at
    )
    owner_results.apply_ledger_event(message, owner)


@handle.register
def _removed(
    message: events.LocalBackendRemoved,
    owner: owner_base.OwnerBase,
) -> None:
    owner_snapshot.apply_removed(message, owner)


@handle.register
def _drain_requested(
    message: events.DrainRequested,
    owner: owner_base.OwnerBase,
) -> None:
    owner.stop(message.answer_by)
    owner_offers.refuse_offers(states.RefusalReason.DRAINING, owner)


@handle.register
def _tick(message: events.Tick, owner: owner_base.OwnerBase) -> None:
    now = owner.now()
    if message.lag_s > _MIN_PAUSE_S:
        owner_results.apply_ledger_event(ledger.PauseNoticed(), owner)
    owner_starts.apply_admission_event(admission.CheckDue(), owner)
    for job in owner.jobs:
        # The end of one job can end others, which are skipped here.
        if owner.jobs.find(job.exchange) is job:
            owner_deadlines.check_deadlines(job, owner, now)
    owner_deadlines.refuse_held(owner)
    if now >= owner.answer_by:
        owner_deadlines.end_all_jobs(owner)
    owner_offers.advance_offers(owner)
    owner_deadlines.schedule_next_tick(owner, now)


def _release_offer(
    link: ids.LinkId,
    call_id: ids.CallId,
    owner: owner_base.OwnerBase,
) -> None:
    if owner.intake.release((link, call_id)):
        owner_offers.advance_offers(owner)


def _apply_quarantine_event(event: object, owner: owner_base.OwnerBase) -> None:
    decisions = quarantine.decide(event, owner.quarantine, owner.now())
    for decision in decisions:
        if isinstance(decision, quarantine.Announce):
            owner.notify_peers(decision.message)
