"""Offers of large calls to the owner."""

import math

from medlarquay import admission, events, pacing, states
from medlarquay.tasks import (
    owner_arrival,
    owner_base,
    owner_results,
    waiting_attempt,
)

__all__ = ('advance_offers', 'handle_offer', 'refuse_offers')


def handle_offer(
    message: events.OfferCall,
    owner: owner_base.OwnerBase,
) -> None:
    """Grant an offered call, let it wait for the link, or refuse it.

    The body must not be sent for nothing, so a call that the owner would refuse
    after its arrival is refused now.
    """
    checked = _check_offer(message, owner)
    if isinstance(checked, states.RefusalReason):
        _refuse(message, checked, owner)
    elif owner.intake.add(checked, owner.now()):
        advance_offers(owner)
    else:
        _refuse(message, states.RefusalReason.LINK_FULL, owner)


def advance_offers(owner: owner_base.OwnerBase) -> None:
    """Grant the offers for which there is room; refuse those without time."""
    now = owner.now()
    for late in owner.intake.take_unreachable(now):
        _refuse_body(late, states.RefusalReason.LINK_FULL, owner)
    for body in owner.intake.take_grants(now):
        owner.grant(body)
    next_check = owner.intake.next_check(now)
    if next_check < math.inf:
        owner.wake_at(next_check)


def refuse_offers(
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """Refuse all calls that wait for a grant."""
    for body in owner.intake.take_waiting():
        _refuse_body(body, reason, owner)


def _check_offer(
    message: events.OfferCall,
    owner: owner_base.OwnerBase,
) -> pacing.OfferedBody | states.RefusalReason:
    offer = message.offer
    reason = owner_arrival.refusal_on_arrival(offer, owner)
    if reason is not None:
        return reason
    if owner.draining:
        return states.RefusalReason.DRAINING
    if owner.local_backend.state is states.BackendState.DOWN:
        return states.RefusalReason.BACKEND_DOWN
    arrived = admission.RequestArrived(
        exchange=owner.jobs.next_exchange(),
        rank=offer.rank,
        deadline=offer.deadline,
        route=offer.route,
        due=offer.due,
        last_attempt=offer.last_attempt,
    )
    work = admission.check_arrival(arrived, owner.admission, owner.now())
    if isinstance(work, states.RefusalReason):
        return work
    arrive_by = work.latest_start
    if not offer.last_attempt:
        # Another owner may still answer by the due time.
        arrive_by = min(arrive_by, work.due - work.service)
    return pacing.OfferedBody(
        link=message.link,
        call_id=offer.call_id,
        length=offer.body_bytes,
        rank=offer.rank,
        due=work.due,
        arrive_by=arrive_by,
        request_id=offer.request_id,
    )


def _refuse(
    message: events.OfferCall,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    offer = message.offer
    attempt = waiting_attempt.WaitingAttempt(
        link=message.link,
        call_id=offer.call_id,
        deadline=offer.deadline,
        request_id=offer.request_id,
    )
    owner_results.refuse_arrival(attempt, reason, owner)


def _refuse_body(
    body: pacing.OfferedBody,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    attempt = waiting_attempt.WaitingAttempt(
        link=body.link,
        call_id=body.call_id,
        deadline=body.arrive_by,
        request_id=body.request_id,
    )
    owner_results.refuse_arrival(attempt, reason, owner)
