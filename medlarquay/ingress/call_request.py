"""Construction of the message that sends an attempt to its owner."""

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
    """Return the message that sends the current attempt to its owner.

    Parameters
    ----------
    call : IngressCall
        Call to send.
    settings : IngressSettings
        Header fields that the ingress sets.
    last_attempt : bool
        Whether no other owner will be tried.
    round_trip_s : float
        Round-trip time to the owner in seconds, subtracted from the deadline
        and the due time. A link transmits the time that is left, so at the
        owner both are late by the latency of the request, and the answer
        takes as long to come back.
    """
    key = call.parameters.key
    replaced = settings.names.set_by_system
    headers = [
        pair
        for pair in answers.forwarded_headers(call.message.headers)
        if pair[0] not in replaced
    ]
    if settings.names.calling_service is not None and settings.service:
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
