"""Departure of the local backend server."""

import math

from medlarquay import admission, replica, states
from medlarquay.tasks import (
    owner_base,
    owner_deadlines,
    owner_offers,
    owner_starts,
)

__all__ = ('apply_listed', 'leave', 'refuse_waiting')


def apply_listed(
    record: replica.InstanceRecord,
    owner: owner_base.OwnerBase,
) -> None:
    """Drain while the instance list says leaving, and resume after."""
    owner.departure.unlisted_since = None
    if record.state is states.InstanceState.LEAVING:
        leave(owner.departure.list_confirmed_at, owner)
        return
    if owner.departure.closes_at < math.inf:
        _close_at(math.inf, owner)
    owner.resume()


def leave(listed_until: float, owner: owner_base.OwnerBase) -> None:
    """Drain, and let what waits go to other owners in time.

    Parameters
    ----------
    listed_until : float
        Latest time at which the list is known not to have said that the
        backend server leaves, seconds on the monotonic clock; -inf if
        unknown.
    owner : OwnerBase
        Owner of the backend server.
    """
    departure = owner.departure
    if departure.closes_at < math.inf:
        return
    owner.drain()
    left_since = departure.left_since(listed_until, owner.now())
    _close_at(left_since + owner.local_backend.leaving_s, owner)
    owner_offers.refuse_offers(states.RefusalReason.DRAINING, owner)
    owner_deadlines.refuse_held(owner)


def refuse_waiting(owner: owner_base.OwnerBase) -> None:
    """Refuse all unsent jobs.

    They were accepted for another service, which must not run them.
    """
    reason = states.RefusalReason.NO_BACKEND
    owner_starts.apply_admission_event(
        admission.QueuesEmptied(reason=reason), owner
    )
    owner_offers.refuse_offers(reason, owner)
    # Suspects that the quarantine holds are not queued.
    for job in owner.jobs:
        if not job.sent:
            owner_deadlines.withdraw(job, owner, reason)


def _close_at(closes_at: float, owner: owner_base.OwnerBase) -> None:
    owner.departure.closes_at = closes_at
    owner_starts.apply_admission_event(
        admission.Closing(closes_at=closes_at), owner
    )
    if closes_at < math.inf:
        owner.wake_at(closes_at)
