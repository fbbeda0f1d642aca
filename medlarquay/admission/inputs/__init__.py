"""Input events of admission control."""

from medlarquay.admission.inputs.backend_started import BackendStarted
from medlarquay.admission.inputs.check_due import CheckDue
from medlarquay.admission.inputs.closing import Closing
from medlarquay.admission.inputs.limits_changed import LimitsChanged
from medlarquay.admission.inputs.link_backlog_changed import LinkBacklogChanged
from medlarquay.admission.inputs.queues_emptied import QueuesEmptied
from medlarquay.admission.inputs.request_arrived import RequestArrived
from medlarquay.admission.inputs.request_cancelled import RequestCancelled
from medlarquay.admission.inputs.request_finished import RequestFinished
from medlarquay.admission.inputs.request_shed import RequestShed

__all__ = (
    'BackendStarted',
    'CheckDue',
    'Closing',
    'LimitsChanged',
    'LinkBacklogChanged',
    'QueuesEmptied',
    'RequestArrived',
    'RequestCancelled',
    'RequestFinished',
    'RequestShed',
)
