"""The message that carries an attempt to its owner."""

from medlarquay import messages
from medlarquay.ingress import answers, ingress_call

__all__ = ('call_request',)


def call_request(call: ingress_call.IngressCall) -> messages.CallRequest:
    """Return the message that carries the current attempt to its owner."""
    key = call.parameters.key
    return messages.CallRequest(
        call_id=call.call_id,
        team=call.route.service.team,
        service=call.route.service.parameters.name,
        method=call.message.method,
        target=call.message.target,
        headers=answers.forwarded_headers(call.message.headers),
        body=call.message.body,
        rank=call.parameters.rank,
        idempotent=call.parameters.idempotent,
        deadline=call.parameters.deadline,
        request_key=None if key is None else key.text,
    )
