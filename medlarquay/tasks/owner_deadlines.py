"""Deadlines of the requests at the owner, and their early ends."""

import math

from medlarquay import admission, events, messages, states
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_results,
    owner_starts,
)

__all__ = ('abort', 'check_deadlines', 'end_all', 'wake_again', 'withdraw')

# Bounds the cost of ticks when many deadlines lie close together.
_SHORTEST_WAKE_S = 0.01


def check_deadlines(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    now: float,
) -> None:
    """Let callers go whose deadline has passed.

    A queued or held job ends as not run when its own deadline passes. The
    outcome of a sent job is not known at that time.
    """
    deadline = job.request.deadline
    if not job.sent and deadline <= now:
        withdraw(job, owner, states.RefusalReason.DEADLINE_PASSED)
        return
    for caller in job.callers:
        if caller.deadline <= now:
            owner.jobs.leave(caller.link, caller.call_id)
            owner.reply(
                caller.link,
                messages.CallUnknown(
                    call_id=caller.call_id,
                    reason=states.RefusalReason.DEADLINE_PASSED,
                ),
                caller.request_id,
            )
    hung = not job.callers and deadline + owner.local_backend.hung_s <= now
    if job.sent and not job.callers and (job.request.idempotent or hung):
        abort(job, owner)


def wake_again(owner: owner_base.OwnerBase, now: float) -> None:
    """Ask for the next tick."""
    checked = admission.next_check(owner.admission, now)
    earliest = math.inf if checked is None else checked
    for job in owner.jobs:
        deadlines = [caller.deadline for caller in job.callers]
        deadlines.append(job.request.deadline + owner.local_backend.hung_s)
        earliest = min(earliest, *deadlines)
    if owner.jobs:
        earliest = min(earliest, owner.answer_by)
    if earliest < math.inf:
        owner.wake_at(max(earliest, now + _SHORTEST_WAKE_S))


def withdraw(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    reason: states.RefusalReason = states.RefusalReason.CANCELLED,
) -> None:
    """End a job that was not sent."""
    owner_results.refuse_job(job, reason, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.tell_admission(freed, owner)


def end_all(owner: owner_base.OwnerBase) -> None:
    """End what a stopping owner has left, as each ingress may know it."""
    reason = states.RefusalReason.DRAINING
    # An abort frees a slot that a queued request would take.
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
    """Cancel a job at the backend server."""
    owner.ask_backend(events.AbortRequest(exchange=job.exchange))
    owner_results.release(job, owner)
    owner_results.lose_job(job, reason, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.tell_admission(freed, owner)
    owner_starts.readmit_held(owner)
