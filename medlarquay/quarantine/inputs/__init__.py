"""Input events of the quarantine."""

from medlarquay.quarantine.inputs.backend_crashed import BackendCrashed
from medlarquay.quarantine.inputs.completed import Completed
from medlarquay.quarantine.inputs.start_requested import StartRequested
from medlarquay.quarantine.inputs.stopped import Stopped

__all__ = ('BackendCrashed', 'Completed', 'StartRequested', 'Stopped')
