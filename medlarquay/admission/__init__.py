"""Admission control for one backend server: slots, queues and deadlines."""

from medlarquay.admission.admission import Admission
from medlarquay.admission.check_arrival import check_arrival
from medlarquay.admission.decide import Decisions, decide
from medlarquay.admission.inputs import (
    BackendStarted,
    CheckDue,
    Closing,
    LimitsChanged,
    LinkBacklogChanged,
    QueuesEmptied,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RequestShed,
)
from medlarquay.admission.limits import Limits
from medlarquay.admission.load_state import load_state
from medlarquay.admission.next_check import next_check
from medlarquay.admission.refuse import Refuse
from medlarquay.admission.start import Start

__all__ = (
    'Admission',
    'BackendStarted',
    'CheckDue',
    'Closing',
    'Decisions',
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
    'check_arrival',
    'decide',
    'load_state',
    'next_check',
)
