"""Sending of calls to owners on this node and on other nodes."""

from medlarquay import events, ids, messages, replica
from medlarquay.tasks import task

__all__ = ('CallSender',)

# Link number that stands for the ingress of the owner's own node.
_LOCAL = ids.LinkId(0)


class CallSender:
    """Sends calls to the local owner directly, to other owners over links.

    Parameters
    ----------
    instance : InstanceId
        Instance of this node.
    links, owner : Task
        Tasks that receive calls for other nodes and for the local backend
        server.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        links: task.Task,
        owner: task.Task,
    ) -> None:
        self._instance = instance
        self._links = links
        self._owner = owner

    def send(
        self,
        backend: replica.InstanceRecord,
        request: messages.CallRequest,
        *,
        offered_first: bool = False,
        request_id: str = '',
    ) -> None:
        """Send a call to the owner of a backend server.

        Parameters
        ----------
        backend : InstanceRecord
            Backend server.
        request : CallRequest
            Request.
        offered_first : bool
            Whether it is offered to another node before its body is sent.
        request_id : str
            Id that the caller gave it, for logs.
        """
        if backend.node_name == self._instance:
            self._owner.post(events.RunCall(link=_LOCAL, request=request))
            return
        self._links.post(
            events.SendCall(
                instance=backend.node_name,
                host=backend.host,
                port=backend.peer_port,
                request=request,
                offered_first=offered_first,
                request_id=request_id,
            ),
        )

    def cancel(
        self,
        instance: ids.InstanceId,
        call_id: ids.CallId,
        *,
        expired: bool = False,
    ) -> None:
        """Cancel a call at its owner, because its result is not needed.

        Parameters
        ----------
        instance : InstanceId
            Node of the owner.
        call_id : CallId
            Attempt to cancel.
        expired : bool
            Whether the deadline of the call has passed.
        """
        if instance == self._instance:
            self._owner.post(events.CancelCall(link=_LOCAL, call_id=call_id))
            return
        self._links.post(
            events.SendCancel(
                instance=instance,
                call_id=call_id,
                expired=expired,
            ),
        )

    def open_link(self, backend: replica.InstanceRecord) -> None:
        """Open the link to the owner of a backend server."""
        self._links.post(
            events.OpenLink(
                instance=backend.node_name,
                host=backend.host,
                port=backend.peer_port,
            ),
        )
