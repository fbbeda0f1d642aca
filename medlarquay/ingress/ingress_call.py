"""A call in progress at the ingress."""

import dataclasses
import math

from medlarquay import events, ids, routing, snapshots

__all__ = ('OWNER_DEADLINE_MARGIN_S', 'IngressCall')

#: The deadline at the owner is this many seconds earlier than that at the
#: ingress, so that the caller gets the owner's more precise reason. Between two
#: regions that result takes up to 60 ms to arrive.
OWNER_DEADLINE_MARGIN_S = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class IngressCall:
    """A call in progress at the ingress.

    Attributes
    ----------
    message : RequestReceived
        Request to answer.
    route : Route
        Route of the snapshot that was in force when the request arrived.
    service : Service
        Service of the route that takes the request.
    request_id : str
        Id that the caller gave the request; empty if it gave none.
    received_at : float
        Time of receipt, seconds on the monotonic clock.
    parameters : CallParameters
        Rank, deadline at the owner and idempotency key.
    deadline : float
        Deadline at the ingress, ``OWNER_DEADLINE_MARGIN_S`` later than that
        at the owner, seconds on the monotonic clock.
    call_id : CallId
        Number of the current attempt.
    instance : InstanceId
        Owner that the current attempt was sent to.
    node : InstanceId
        Node of that owner.
    sent_at : float
        Start of the current attempt, seconds on the monotonic clock.
    generation : int
        Number of the snapshot from which the owner was chosen.
    revision : Revision
        Tree revision of the snapshot from which the route was chosen.
    confirmed_at : float
        When the source had confirmed that snapshot, seconds on the monotonic
        clock; -inf if unknown.
    sent_attempts : int
        Number of attempts that a backend server may have received.
    may_have_run : bool
        Whether an attempt that failed may have been run.
    tried : tuple of InstanceId
        Owners of all attempts so far, that of the current one last.
    """

    message: events.RequestReceived
    route: snapshots.Route
    service: snapshots.Service
    parameters: routing.CallParameters
    deadline: float
    request_id: str = ''
    received_at: float = 0
    call_id: ids.CallId = ids.CallId(0)
    instance: ids.InstanceId = ids.InstanceId('')
    node: ids.InstanceId = ids.InstanceId('')
    sent_at: float = 0
    generation: int = 0
    revision: ids.Revision = ids.Revision(0)
    confirmed_at: float = -math.inf
    sent_attempts: int = 0
    may_have_run: bool = False
    tried: tuple[ids.InstanceId, ...] = ()

    @property
    def caller(self) -> ids.CallerId:
        """Connection of the caller that waits for the answer."""
        return self.message.caller

    def limit_deadline(self, deadline: float) -> None:
        """Bring the deadlines of the call forward to a time, if later.

        Parameters
        ----------
        deadline : float
            Latest deadline at the ingress, seconds on the monotonic clock;
            that at the owner is ``OWNER_DEADLINE_MARGIN_S`` earlier.
        """
        self.deadline = min(self.deadline, deadline)
        at_owner = min(
            self.parameters.deadline, deadline - OWNER_DEADLINE_MARGIN_S
        )
        self.parameters = dataclasses.replace(
            self.parameters,
            deadline=at_owner,
            due=min(self.parameters.due, at_owner),
        )
