"""A call under way at the ingress."""

import dataclasses

from medlarquay import events, ids, routing, snapshots

__all__ = ('IngressCall',)


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
    tried: tuple[ids.InstanceId, ...] = ()

    @property
    def caller(self) -> ids.CallerId:
        """Connection that waits for the answer."""
        return self.message.caller
