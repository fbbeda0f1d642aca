"""The message that carries an attempt to its owner."""

from medlarquay import messages
from medlarquay.ingress import answers, ingress_call, ingress_settings

__all__ = ('call_request',)


def call_request(
    call: ingress_call.IngressCall,
    settings: ingress_settings.IngressSettings,
    *,
    last_attempt: bool,
    round_trip_s: float,
) -> messages.CallRequest:
    """Return the message that carries the current attempt to its owner.

    Parameters
    ----------
    call : IngressCall
        Call.
    own : Front
        Header fields of the ingress.
    last : bool
        Whether no other owner will be asked.
    round_trip_s : float
        Time to the owner and back, in seconds. A link carries the time that
        is left, so the owner's times are late by the way there, and its
        answer takes the way back.
    """
    key = call.parameters.key
    replaced = settings.names.set_by_system
    headers = [
        pair
        for pair in answers.forwarded_headers(call.message.headers)
        if pair[0] not in replaced
    ]
    if settings.names.calling_service is not None:
        headers.append((settings.names.calling_service, settings.service))
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
        deadline=call.parameters.deadline - round_trip_s,
        route=call.route.name,
        due=call.parameters.due - round_trip_s,
        last_attempt=last_attempt,
        request_key=None if key is None else key.text,
    )
