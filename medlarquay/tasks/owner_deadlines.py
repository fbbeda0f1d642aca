"""Deadlines and cancellation of the requests at the owner."""

import math

from medlarquay import admission, events, messages, states
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_results,
    owner_starts,
)

__all__ = (
    'abort',
    'check_deadlines',
    'end_all_jobs',
    'refuse_held',
    'schedule_next_tick',
    'withdraw',
)

# Limits the rate of ticks when many deadlines are close together.
_MIN_TICK_DELAY_S = 0.01


def check_deadlines(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    now: float,
) -> None:
    """Reply to the attempts of a job whose deadline has passed.

    A queued or held job ends as not run when its own deadline passes. The
    outcome of a sent job is not known then, so the reply says that it is
    unknown. A sent job without attempts is aborted if it is idempotent, or
    once it is hung (``LocalBackend.hung_s`` after its deadline).
    """
    deadline = job.request.deadline
    if not job.sent and deadline <= now:
        withdraw(job, owner, states.RefusalReason.DEADLINE_PASSED)
        return
    for attempt in job.attempts:
        if attempt.deadline <= now:
            owner.jobs.remove_attempt(attempt.link, attempt.call_id)
            owner.reply(
                attempt.link,
                messages.CallUnknown(
                    call_id=attempt.call_id,
                    reason=states.RefusalReason.DEADLINE_PASSED,
                ),
                attempt.request_id,
            )
    hung = not job.attempts and deadline + owner.local_backend.hung_s <= now
    if job.sent and not job.attempts and (job.request.idempotent or hung):
        abort(job, owner)


def schedule_next_tick(owner: owner_base.OwnerBase, now: float) -> None:
    """Request a tick at the earliest deadline."""
    next_check = admission.next_check(owner.admission, now)
    earliest = math.inf if next_check is None else next_check
    for job in owner.jobs:
        deadlines = [attempt.deadline for attempt in job.attempts]
        deadlines.append(job.request.deadline + owner.local_backend.hung_s)
        earliest = min(earliest, *deadlines)
    if owner.jobs:
        earliest = min(earliest, owner.answer_by)
    if earliest < math.inf:
        owner.wake_at(max(earliest, now + _MIN_TICK_DELAY_S))


def withdraw(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    reason: states.RefusalReason = states.RefusalReason.CANCELLED,
) -> None:
    """End a job that was not sent to the backend server as not run."""
    owner_results.refuse_job(job, reason, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.apply_admission_event(freed, owner)


def refuse_held(owner: owner_base.OwnerBase) -> None:
    """Refuse held suspects once the backend server is sent no more requests.

    The queued requests are refused by admission.
    """
    if owner.departure.closes_at <= owner.now():
        for job in tuple(owner.jobs.held):
            withdraw(job, owner, states.RefusalReason.DRAINING)


def end_all_jobs(owner: owner_base.OwnerBase) -> None:
    """End all remaining jobs of a stopping owner.

    Unsent jobs are reported as not run, and sent ones as unknown.
    """
    reason = states.RefusalReason.DRAINING
    # Unsent jobs are ended first: an abort frees a slot, and a queued request
    # would be started in it.
    for queued in owner.jobs:
        if not queued.sent:
            withdraw(queued, owner, reason)
    for job in owner.jobs:
        abort(job, owner, reason)


def abort(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    reason: states.RefusalReason = states.RefusalReason.CANCELLED,
) -> None:
    """Abort a sent job at the backend server; its outcome is unknown."""
    owner.post_to_backend(events.AbortRequest(exchange=job.exchange))
    owner_results.notify_quarantine_stopped(job, owner)
    owner_results.end_job_unknown(job, reason, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.apply_admission_event(freed, owner)
    owner_starts.readmit_held(owner)
