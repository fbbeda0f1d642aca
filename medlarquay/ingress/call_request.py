"""The message that carries an attempt to its owner."""

from medlarquay import messages
from medlarquay.ingress import answers, front, ingress_call

__all__ = ('call_request',)


def call_request(
    call: ingress_call.IngressCall,
    own: front.Front,
    *,
    last: bool,
) -> messages.CallRequest:
    """Return the message that carries the current attempt to its owner."""
    key = call.parameters.key
    replaced = own.names.set_by_system
    headers = [
        pair
        for pair in answers.forwarded_headers(call.message.headers)
        if pair[0] not in replaced
    ]
    if own.names.calling_service is not None:
        headers.append((own.names.calling_service, own.service))
    return messages.CallRequest(
        call_id=call.call_id,
        team=call.service.team,
        service=call.service.parameters.name,
        method=call.message.method,
        target=call.message.target,
        headers=tuple(headers),
        body=call.message.body,
        rank=call.parameters.rank,
        idempotent=call.parameters.idempotent,
        deadline=call.parameters.deadline,
        route=call.route.name,
        due=call.parameters.due,
        last=last,
        request_key=None if key is None else key.text,
    )
