"""Ingress state: calls in progress, answers, request keys and reports."""

from medlarquay.ingress.answers import (
    backend_answer,
    refusal,
    refusal_outcome,
    unknown_outcome,
)
from medlarquay.ingress.call_reporter import CallReporter
from medlarquay.ingress.call_request import call_request
from medlarquay.ingress.call_sender import CallSender
from medlarquay.ingress.ingress_call import IngressCall
from medlarquay.ingress.ingress_calls import IngressCalls
from medlarquay.ingress.ingress_settings import IngressSettings
from medlarquay.ingress.key_issuer import KeyIssuer
from medlarquay.ingress.key_request import KeyRequest
from medlarquay.ingress.known_incarnations import KnownIncarnations
from medlarquay.ingress.open_call import open_call
from medlarquay.ingress.owner_query import any_owner_query, owner_query
from medlarquay.ingress.retry_after import with_retry_after
from medlarquay.ingress.routing_table import RoutingTable

__all__ = (
    'CallReporter',
    'CallSender',
    'IngressCall',
    'IngressCalls',
    'IngressSettings',
    'KeyIssuer',
    'KeyRequest',
    'KnownIncarnations',
    'RoutingTable',
    'any_owner_query',
    'backend_answer',
    'call_request',
    'open_call',
    'owner_query',
    'refusal',
    'refusal_outcome',
    'unknown_outcome',
    'with_retry_after',
)
