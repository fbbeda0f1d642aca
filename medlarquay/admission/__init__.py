"""Admission: slots, ranks, queues and deadlines of one backend server."""

from medlarquay.admission.admission import Admission
from medlarquay.admission.decide import Decision, decide
from medlarquay.admission.inputs import (
    BackendStarted,
    CheckDue,
    LimitsChanged,
    LinkBacklogChanged,
    QueuesEmptied,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RequestShed,
)
from medlarquay.admission.limits import Limits
from medlarquay.admission.load import load_of
from medlarquay.admission.next_check import next_check
from medlarquay.admission.refuse import Refuse
from medlarquay.admission.start import Start

__all__ = (
    'Admission',
    'BackendStarted',
    'CheckDue',
    'Decision',
    'Limits',
    'LimitsChanged',
    'LinkBacklogChanged',
    'QueuesEmptied',
    'Refuse',
    'RequestArrived',
    'RequestCancelled',
    'RequestFinished',
    'RequestShed',
    'Start',
    'decide',
    'load_of',
    'next_check',
)
