"""End of the owner's jobs and the results sent to their callers."""

from medlarquay import (
    admission,
    events,
    ledger,
    messages,
    pacing,
    quarantine,
    states,
    telemetry,
)
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_log,
    waiting_caller,
)

__all__ = (
    'reply_result_dropped',
    'answer_job',
    'end_job_unknown',
    'record_job',
    'refuse_arrival',
    'refuse_call',
    'refuse_job',
    'notify_quarantine_stopped',
    'apply_ledger_event',
)

_RETRY_HEADER = b'medlarquay-retry'
_CONFLICT_STATUS = 409


def refuse_call(
    caller: waiting_caller.WaitingCaller,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """Reply to one caller that its attempt was not run, and count it."""
    owner.counters.increment(reason)
    owner.reply(
        caller.link,
        messages.CallRefused(
            call_id=caller.call_id,
            reason=reason,
            load=admission.load_state(owner.admission, owner.now()),
        ),
        caller.request_id,
    )


def refuse_arrival(
    caller: waiting_caller.WaitingCaller,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """Refuse a request on arrival, before a job is created."""
    owner_log.log_refusal(caller, reason, owner)
    refuse_call(caller, reason, owner)


def refuse_job(
    job: owner_job.OwnerJob,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """End a job as not run, and release its key."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.NOT_RUN, owner, reason=reason)
    if job.key is not None:
        apply_ledger_event(ledger.KeyReleased(key=job.key), owner)
    for caller in job.callers:
        refuse_call(caller, reason, owner)


def end_job_unknown(
    job: owner_job.OwnerJob,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """End a job as unknown, because its outcome cannot be determined."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.UNKNOWN, owner, reason=reason)
    if job.key is not None:
        apply_ledger_event(
            ledger.OutcomeLost(key=job.key, reason=reason), owner
        )
    if not job.request.idempotent:
        record_job(job, states.Outcome.UNKNOWN, owner, reason=reason)
    for caller in job.callers:
        owner.reply(
            caller.link,
            messages.CallUnknown(call_id=caller.call_id, reason=reason),
            caller.request_id,
        )


def answer_job(
    job: owner_job.OwnerJob,
    message: events.BackendAnswered,
    owner: owner_base.OwnerBase,
) -> None:
    """End a job and send the backend server's answer to its callers."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.RUN, owner, status=message.status)
    if job.key is not None:
        recorded = ledger.RecordedAnswer(
            status=message.status,
            headers=message.headers,
            body=message.body,
        )
        apply_ledger_event(ledger.Answered(key=job.key, answer=recorded), owner)
    if not job.request.idempotent:
        record_job(job, states.Outcome.RUN, owner, status=message.status)
    load = admission.load_state(owner.admission, owner.now())
    for caller in job.callers:
        owner.reply(
            caller.link,
            messages.CallAnswered(
                call_id=caller.call_id,
                status=message.status,
                headers=message.headers,
                body=message.body,
                load=load,
                replayed=caller.replayed,
                retry_allowed=(_RETRY_HEADER, b'no') not in message.headers,
            ),
            caller.request_id,
            urgency=pacing.Urgency(
                rank=job.request.rank,
                due=job.request.due,
                deadline=caller.deadline,
            ),
        )


def reply_result_dropped(
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    """Reply that a request has run but its recorded answer was dropped."""
    reason = states.RefusalReason.KEY_RESULT_DROPPED
    owner.counters.increment(reason)
    owner.reply(
        caller.link,
        messages.CallAnswered(
            call_id=caller.call_id,
            status=_CONFLICT_STATUS,
            headers=((b'medlarquay-reason', reason.value.encode()),),
            body=b'',
            load=admission.load_state(owner.admission, owner.now()),
            replayed=True,
        ),
    )


def notify_quarantine_stopped(
    job: owner_job.OwnerJob, owner: owner_base.OwnerBase
) -> None:
    """Notify the quarantine that a job no longer runs."""
    quarantine.decide(
        quarantine.Stopped(
            exchange=job.exchange,
            fingerprint=job.fingerprint,
        ),
        owner.quarantine,
        owner.now(),
    )


def apply_ledger_event(
    event: object,
    owner: owner_base.OwnerBase,
) -> ledger.Decision | None:
    """Apply an event to the ledger and return its decision."""
    return ledger.decide(
        event,
        owner.ledger,
        owner.now(),
        owner.clock.wall(),
    )


def record_job(
    job: owner_job.OwnerJob,
    outcome: states.Outcome,
    owner: owner_base.OwnerBase,
    *,
    status: int = 0,
    reason: states.RefusalReason | None = None,
) -> None:
    """Write the call record of a job, unless one was written."""
    if job.recorded:
        return
    job.recorded = True
    request = job.request
    owner.records.append(
        telemetry.CallRecord(
            recorded_at=owner.clock.wall(),
            side=states.RecordSide.OWNER,
            team=request.team,
            service=request.service,
            method=request.method,
            target=request.target,
            request_key=request.request_key,
            outcome=outcome,
            status=status,
            reason=reason,
        ),
    )
