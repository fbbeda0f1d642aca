"""Execution of the decisions of the ledger on keyed requests."""

import dataclasses
import functools

from medlarquay import (
    admission,
    errors,
    ids,
    keys,
    ledger,
    messages,
    quarantine,
    states,
)
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_results,
    owner_starts,
    waiting_attempt,
)

__all__ = ('run_keyed',)

# Maximum number of attempts that wait for one key; limits the memory that a
# caller can use by resending without end.
_MAX_WAITING = 64


def run_keyed(
    job: owner_job.OwnerJob,
    request_key: ids.RequestKey,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    """Run a keyed request unless the ledger already knows its key.

    Otherwise it waits for the run in progress, or gets the recorded result.
    """
    try:
        key = keys.parse_key(request_key)
    except errors.RequestError:
        reason = states.RefusalReason.KEY_INVALID
        owner_results.refuse_call(attempt, reason, owner)
        return
    received = ledger.KeyReceived(
        key=key,
        # A caller may repeat a request with a key at any node.
        fingerprint=quarantine.fingerprint_of(job.request),
        exchange=job.exchange,
    )
    decision = owner_results.apply_ledger_event(received, owner)
    _carry_out(decision, job, attempt, owner)


@functools.singledispatch
def _carry_out(
    decision: object,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    raise TypeError(f'unexpected decision {type(decision).__name__}')


@_carry_out.register
def _proceed(
    decision: ledger.Proceed,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    job.key = job.request.request_key
    owner.jobs.add(job)
    owner.jobs.add_attempt(job, attempt)
    owner_starts.admit(job, owner)


@_carry_out.register
def _wait(
    decision: ledger.Wait,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    running_job = owner.jobs.find(decision.exchange)
    if running_job is None:
        return
    if len(running_job.attempts) >= _MAX_WAITING:
        # Reporting "not run" would be wrong: a request with this key is
        # in progress.
        owner.reply(
            attempt.link,
            messages.CallUnknown(
                call_id=attempt.call_id,
                reason=states.RefusalReason.QUEUE_FULL,
            ),
        )
    else:
        owner.wake_at(attempt.deadline)
        joined = dataclasses.replace(attempt, replayed=True)
        owner.jobs.add_attempt(running_job, joined)


@_carry_out.register
def _replay(
    decision: ledger.Replay,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    answer = decision.answer
    owner.reply(
        attempt.link,
        messages.CallAnswered(
            call_id=attempt.call_id,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            load=admission.load_state(owner.admission, owner.now()),
            replayed=True,
        ),
    )


@_carry_out.register
def _dropped(
    decision: ledger.ReportDropped,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    owner_results.reply_result_dropped(attempt, owner)


@_carry_out.register
def _unknown(
    decision: ledger.ReportUnknown,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    owner.reply(
        attempt.link,
        messages.CallUnknown(call_id=attempt.call_id, reason=decision.reason),
    )


@_carry_out.register
def _refuse(
    decision: ledger.Refuse,
    job: owner_job.OwnerJob,
    attempt: waiting_attempt.WaitingAttempt,
    owner: owner_base.OwnerBase,
) -> None:
    owner_results.refuse_call(attempt, decision.reason, owner)
