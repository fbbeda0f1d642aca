"""A call under way at the ingress."""

import dataclasses

from medlarquay import events, ids, routing, snapshots

__all__ = ('OWNER_LEAD_S', 'IngressCall')

#: The owner's deadline comes this much first, so that its reason, which knows
#: more, is what the caller is told; it needs up to 60 ms between two regions.
OWNER_LEAD_S = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class IngressCall:
    """A call under way at the ingress.

    Attributes
    ----------
    message : RequestReceived
        Request; its caller waits for the answer.
    route : Route
        Route of the snapshot that was in force when the request arrived.
    service : Service
        Service of the route that takes the request.
    request_id : str
        Id that the caller gave the request; empty if none.
    received_at : float
        Time of receipt, seconds on the monotonic clock.
    parameters : CallParameters
        Rank, deadline at the owner and key.
    deadline : float
        Deadline at the ingress, a little later than that at the owner,
        seconds on the monotonic clock.
    call_id : CallId
        Number of the current attempt.
    instance : InstanceId
        Owner that the current attempt went to.
    node : InstanceId
        Node of that owner.
    sent_at : float
        Start of the current attempt, seconds on the monotonic clock.
    generation : int
        Snapshot by which the owner was chosen.
    sends : int
        Attempts that a backend server may have seen.
    may_have_run : bool
        Whether an attempt that failed may have run.
    tried : tuple of InstanceId
        Owners of all attempts, the current one last.
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
    sends: int = 0
    may_have_run: bool = False
    tried: tuple[ids.InstanceId, ...] = ()

    @property
    def caller(self) -> ids.CallerId:
        """Connection that waits for the answer."""
        return self.message.caller

    def end_by(self, deadline: float) -> None:
        """Let the call end at a time, or at its own deadline if earlier.

        Parameters
        ----------
        deadline : float
            Latest end at the ingress, seconds on the monotonic clock.
        """
        self.deadline = min(self.deadline, deadline)
        at_owner = min(self.parameters.deadline, deadline - OWNER_LEAD_S)
        self.parameters = dataclasses.replace(
            self.parameters,
            deadline=at_owner,
            due=min(self.parameters.due, at_owner),
        )
