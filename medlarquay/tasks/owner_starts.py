"""Execution of the decisions that start or refuse a job."""

import functools

from medlarquay import admission, events, quarantine, states
from medlarquay.tasks import owner_base, owner_job, owner_results

__all__ = ('admit', 'carry_out', 'readmit_held', 'apply_admission_event')

_MS_PER_SECOND = 1000
_TIMEOUT_HEADER = b'request-timeout-ms'


def admit(job: owner_job.OwnerJob, owner: owner_base.OwnerBase) -> None:
    """Request a slot for a job, or refuse it while draining."""
    owner.wake_at(job.request.deadline)
    if owner.draining:
        owner_results.refuse_job(job, states.RefusalReason.DRAINING, owner)
    else:
        _request_slot(job, owner)


def readmit_held(owner: owner_base.OwnerBase) -> None:
    """Request slots again for suspects held until another suspect ended."""
    held = owner.jobs.held
    if not held:
        return
    owner.jobs.held = []
    for job in held:
        _request_slot(job, owner)


def apply_admission_event(event: object, owner: owner_base.OwnerBase) -> None:
    """Apply an event to admission and carry out its decisions."""
    carry_out(
        admission.decide(event, owner.admission, owner.now()),
        owner,
    )


def carry_out(
    decisions: admission.Decisions,
    owner: owner_base.OwnerBase,
) -> None:
    """Carry out decisions, and then in order those that follow from them.

    Notes
    -----
    A start that the quarantine rejects frees its slot for the next request.
    The work list avoids one level of recursion for each queued request.
    """
    pending = list(decisions)
    while pending:
        pending.extend(_carry_out(pending.pop(0), owner))
    next_check = admission.next_check(owner.admission, owner.now())
    if next_check is not None:
        owner.wake_at(next_check)


def _request_slot(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
) -> None:
    if owner.local_backend.state is states.BackendState.DOWN:
        owner_results.refuse_job(job, states.RefusalReason.BACKEND_DOWN, owner)
        return
    arrived = admission.RequestArrived(
        exchange=job.exchange,
        rank=job.request.rank,
        deadline=job.request.deadline,
        route=job.request.route,
        due=job.request.due,
        last_attempt=job.request.last_attempt,
        local=not any(caller.link for caller in job.callers),
    )
    apply_admission_event(arrived, owner)


@functools.singledispatch
def _carry_out(
    decision: object,
    owner: owner_base.OwnerBase,
) -> admission.Decisions:
    raise TypeError(f'unexpected decision {type(decision).__name__}')


@_carry_out.register
def _refuse(
    decision: admission.Refuse,
    owner: owner_base.OwnerBase,
) -> admission.Decisions:
    job = owner.jobs.find(decision.exchange)
    if job is not None:
        owner_results.refuse_job(job, decision.reason, owner)
    return ()


@_carry_out.register
def _start(
    decision: admission.Start,
    owner: owner_base.OwnerBase,
) -> admission.Decisions:
    now = owner.now()
    job = owner.jobs.find(decision.exchange)
    if job is None:
        return _free_slot(decision, owner, now)
    asked = quarantine.StartRequested(
        exchange=job.exchange,
        fingerprint=job.fingerprint,
    )
    permission = quarantine.decide(asked, owner.quarantine, now)[0]
    if isinstance(permission, quarantine.Permit):
        _send(job, owner, now)
        return ()
    if isinstance(permission, quarantine.Hold):
        owner.jobs.held.append(job)
    else:
        reason = states.RefusalReason.QUARANTINED
        owner_results.refuse_job(job, reason, owner)
    return _free_slot(decision, owner, now)


def _free_slot(
    decision: admission.Start,
    owner: owner_base.OwnerBase,
    now: float,
) -> admission.Decisions:
    freed = admission.RequestCancelled(exchange=decision.exchange)
    return admission.decide(freed, owner.admission, now)


def _send(
    job: owner_job.OwnerJob,
    owner: owner_base.OwnerBase,
    now: float,
) -> None:
    job.sent = True
    job.sent_at = now
    request = job.request
    left_ms = max(1, int((request.deadline - now) * _MS_PER_SECOND))
    owner.post_to_backend(
        events.StartRequest(
            exchange=job.exchange,
            method=request.method,
            target=request.target,
            headers=(
                *(
                    pair
                    for pair in request.headers
                    if pair[0] != _TIMEOUT_HEADER
                ),
                (_TIMEOUT_HEADER, b'%d' % left_ms),
                *_expected_instance_header(owner),
            ),
            body=request.body,
            deadline=request.deadline,
        ),
    )


def _expected_instance_header(
    owner: owner_base.OwnerBase,
) -> tuple[tuple[bytes, bytes], ...]:
    name = owner.local_backend.names.expected_instance
    if name is None or owner.local_instance is None:
        return ()
    return ((name, owner.local_instance.instance.encode()),)
