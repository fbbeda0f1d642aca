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
    """

    instance: ids.InstanceId
    host: str
    port: int
    request: messages.CallRequest

    @property
    def urgency(self) -> pacing.Urgency:
        """Rank and times that order large requests on the link."""
        return pacing.Urgency(
            rank=self.request.rank,
            due=self.request.due,
            deadline=self.request.deadline,
        )
