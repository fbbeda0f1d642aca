"""Arrival of a call at the owner."""

from medlarquay import events, messages, quarantine, states
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_keys,
    owner_results,
    owner_starts,
    waiting_attempt,
)

__all__ = ('accept', 'refusal_on_arrival')


def accept(message: events.RunCall, owner: owner_base.OwnerBase) -> None:
    """Queue a call, or refuse it at once."""
    request = message.request
    attempt = waiting_attempt.WaitingAttempt(
        link=message.link,
        call_id=request.call_id,
        deadline=request.deadline,
        request_id=owner.local_backend.names.request_id_of(request.headers),
    )
    reason = refusal_on_arrival(request, owner)
    if reason is not None:
        owner_results.refuse_arrival(attempt, reason, owner)
        return
    job = owner_job.OwnerJob(
        exchange=owner.jobs.next_exchange(),
        request=request,
        fingerprint=quarantine.fingerprint_of(
            request,
            caller=owner.local_backend.names.caller_of(request.headers),
        ),
        arrived_at=owner.now(),
    )
    if request.request_key is None or request.idempotent:
        owner.jobs.add(job)
        owner.jobs.add_attempt(job, attempt)
        owner_starts.admit(job, owner)
    else:
        owner_keys.run_keyed(job, request.request_key, attempt, owner)


def refusal_on_arrival(
    request: messages.CallRequest | messages.CallOffered,
    owner: owner_base.OwnerBase,
) -> states.RefusalReason | None:
    """Return why the owner cannot run a call; None if it can."""
    if request.deadline <= owner.now():
        return states.RefusalReason.DEADLINE_PASSED
    local = owner.local_instance
    if local is None:
        return states.RefusalReason.NO_CONFIGURATION
    # An ingress with an outdated instance list may still send requests for
    # another service.
    if (request.team, request.service) != (local.team, local.service):
        return states.RefusalReason.NO_BACKEND
    return None
