"""Send a request to the owner on another node."""

import dataclasses

from medlarquay import ids, messages, pacing

__all__ = ('SendCall',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCall:
    """Send a request to the owner on another node.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of the owner.
    host : str
        IP address of its node.
    port : int
        Peer port of its node.
    request : messages.CallRequest
        Request; its call id is unique at this ingress.
    offered_first : bool
        Whether it is offered before its body is sent.
    request_id : str
        Id that the caller gave the request, for logs; empty if it gave none.
    """

    instance: ids.InstanceId
    host: str
    port: int
    request: messages.CallRequest
    offered_first: bool = False
    request_id: str = ''

    @property
    def urgency(self) -> pacing.Urgency:
        """Rank and times that order large requests on the link."""
        return pacing.Urgency(
            rank=self.request.rank,
            due=self.request.due,
            deadline=self.request.deadline,
        )

    @property
    def offer(self) -> messages.CallOffered:
        """Offer that precedes the request."""
        request = self.request
        return messages.CallOffered(
            call_id=request.call_id,
            team=request.team,
            service=request.service,
            route=request.route,
            rank=request.rank,
            deadline=request.deadline,
            due=request.due,
            last_attempt=request.last_attempt,
            body_bytes=len(request.body),
            request_id=self.request_id,
        )
