"""Messages between nodes, also passed between the tasks of a node."""

from medlarquay.messages.call_answered import CallAnswered
from medlarquay.messages.call_cancel import CallCancel
from medlarquay.messages.call_granted import CallGranted
from medlarquay.messages.call_offered import CallOffered
from medlarquay.messages.call_refused import CallRefused
from medlarquay.messages.call_request import CallRequest
from medlarquay.messages.call_unknown import CallUnknown
from medlarquay.messages.crash_suspected import CrashSuspected
from medlarquay.messages.draining import Draining
from medlarquay.messages.fetch_all import FetchAll
from medlarquay.messages.heartbeat import Heartbeat
from medlarquay.messages.hello import Hello
from medlarquay.messages.large_body import LARGE_BODY_BYTES
from medlarquay.messages.load_state import LoadState
from medlarquay.messages.probe import Probe
from medlarquay.messages.records import Records
from medlarquay.messages.subscribe import Subscribe
from medlarquay.messages.suspicion_cleared import SuspicionCleared

__all__ = (
    'LARGE_BODY_BYTES',
    'CallAnswered',
    'CallCancel',
    'CallGranted',
    'CallOffered',
    'CallRefused',
    'CallRequest',
    'CallUnknown',
    'CrashSuspected',
    'Draining',
    'FetchAll',
    'Heartbeat',
    'Hello',
    'LoadState',
    'Probe',
    'Records',
    'Subscribe',
    'SuspicionCleared',
)
