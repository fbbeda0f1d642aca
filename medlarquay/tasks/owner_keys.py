"""Carrying out of the decisions of the ledger."""

import dataclasses
import functools

from medlarquay import admission, errors, ids, keys, ledger, messages, states
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_results,
    owner_starts,
    waiting_caller,
)

__all__ = ('run_keyed',)

# Attempts that wait for one key; bounds the memory of a caller that resends
# without end.
_MAX_WAITING = 64


def run_keyed(
    job: owner_job.OwnerJob,
    text: ids.RequestKey,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    """Run a request with a key, or answer with what is known of the key."""
    try:
        key = keys.parse_key(text)
    except errors.RequestError:
        reason = states.RefusalReason.KEY_INVALID
        owner_results.refuse_call(caller, reason, owner)
        return
    presented = ledger.KeyReceived(
        key=key,
        fingerprint=job.fingerprint,
        exchange=job.exchange,
    )
    decision = owner_results.tell_ledger(presented, owner)
    _carry_out(decision, job, caller, owner)


@functools.singledispatch
def _carry_out(
    decision: object,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    raise TypeError(f'unexpected decision {type(decision).__name__}')


@_carry_out.register
def _proceed(
    decision: ledger.Proceed,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    job.key = job.request.request_key
    owner.jobs.add(job)
    owner.jobs.join(job, caller)
    owner_starts.admit(job, owner)


@_carry_out.register
def _wait(
    decision: ledger.Wait,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    running = owner.jobs.find(decision.exchange)
    if running is None:
        return
    if len(running.callers) >= _MAX_WAITING:
        # Not run would be wrong: the request of this key is under way.
        owner.reply(
            caller.link,
            messages.CallUnknown(
                call_id=caller.call_id,
                reason=states.RefusalReason.QUEUE_FULL,
            ),
        )
    else:
        owner.wake_at(caller.deadline)
        joined = dataclasses.replace(caller, replayed=True)
        owner.jobs.join(running, joined)


@_carry_out.register
def _replay(
    decision: ledger.Replay,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    answer = decision.answer
    owner.reply(
        caller.link,
        messages.CallAnswered(
            call_id=caller.call_id,
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
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    owner_results.answer_dropped(caller, owner)


@_carry_out.register
def _unknown(
    decision: ledger.ReportUnknown,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    owner.reply(
        caller.link,
        messages.CallUnknown(call_id=caller.call_id, reason=decision.reason),
    )


@_carry_out.register
def _refuse(
    decision: ledger.Refuse,
    job: owner_job.OwnerJob,
    caller: waiting_caller.WaitingCaller,
    owner: owner_base.OwnerBase,
) -> None:
    owner_results.refuse_call(caller, decision.reason, owner)
