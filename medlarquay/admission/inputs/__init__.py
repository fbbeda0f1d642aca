"""Events that admission decides on."""

from medlarquay.admission.inputs.arrived import Arrived
from medlarquay.admission.inputs.backend_started import BackendStarted
from medlarquay.admission.inputs.cancelled import Cancelled
from medlarquay.admission.inputs.clock_checked import ClockChecked
from medlarquay.admission.inputs.finished import Finished
from medlarquay.admission.inputs.limits_changed import LimitsChanged
from medlarquay.admission.inputs.link_changed import LinkChanged
from medlarquay.admission.inputs.queues_emptied import QueuesEmptied
from medlarquay.admission.inputs.was_shed import WasShed

__all__ = (
    'Arrived',
    'BackendStarted',
    'Cancelled',
    'ClockChecked',
    'Finished',
    'LimitsChanged',
    'LinkChanged',
    'QueuesEmptied',
    'WasShed',
)
