"""How a job of the owner ends, and what its callers are told."""

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
    'answer_dropped',
    'answer_job',
    'lose_job',
    'record_job',
    'refuse_arrival',
    'refuse_call',
    'refuse_job',
    'release',
    'tell_ledger',
)

_RETRY = b'medlarquay-retry'
_CONFLICT = 409


def refuse_call(
    caller: waiting_caller.WaitingCaller,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """Tell one caller that its attempt was not run, and count it."""
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
    """Refuse a request that does not become a job."""
    owner_log.log_refusal(caller, reason, owner)
    refuse_call(caller, reason, owner)


def refuse_job(
    job: owner_job.OwnerJob,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """End a job that was not run."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.NOT_RUN, owner, reason=reason)
    if job.key is not None:
        tell_ledger(ledger.KeyReleased(key=job.key), owner)
    for caller in job.callers:
        refuse_call(caller, reason, owner)


def lose_job(
    job: owner_job.OwnerJob,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """End a job whose outcome cannot be known."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.UNKNOWN, owner, reason=reason)
    if job.key is not None:
        tell_ledger(ledger.OutcomeLost(key=job.key, reason=reason), owner)
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
    """End a job with the answer of the backend server."""
    owner.jobs.pop(job.exchange)
    owner_log.log_end(job, states.Outcome.RUN, owner, status=message.status)
    if job.key is not None:
        recorded = ledger.RecordedAnswer(
            status=message.status,
            headers=message.headers,
            body=message.body,
        )
        tell_ledger(ledger.Answered(key=job.key, answer=recorded), owner)
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
                retry_allowed=(_RETRY, b'no') not in message.headers,
            ),
            caller.request_id,
            urgency=pacing.Urgency(
                rank=job.request.rank,
                due=job.request.due,
                deadline=caller.deadline,
            ),
        )


def answer_dropped(
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    """Tell a caller that its request has run but the answer is gone."""
    reason = states.RefusalReason.KEY_RESULT_DROPPED
    owner.counters.increment(reason)
    owner.reply(
        caller.link,
        messages.CallAnswered(
            call_id=caller.call_id,
            status=_CONFLICT,
            headers=((b'medlarquay-reason', reason.value.encode()),),
            body=b'',
            load=admission.load_state(owner.admission, owner.now()),
            replayed=True,
        ),
    )


def release(job: owner_job.OwnerJob, owner: owner_base.OwnerBase) -> None:
    """Tell the quarantine that a job no longer runs."""
    quarantine.decide(
        quarantine.Stopped(
            exchange=job.exchange,
            fingerprint=job.fingerprint,
        ),
        owner.quarantine,
        owner.now(),
    )


def tell_ledger(
    event: object,
    owner: owner_base.OwnerBase,
) -> ledger.Decision | None:
    """Give the ledger an event."""
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
    """Write the call record of a job once."""
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
