"""Enumerations of states and reasons.

The first line of a class docstring is the help text of the metric that counts
the members.
"""

from medlarquay.states.backend_state import BackendState
from medlarquay.states.change_origin import ChangeOrigin
from medlarquay.states.dropped_message import DroppedMessage
from medlarquay.states.fragment_kind import FragmentKind
from medlarquay.states.instance_state import InstanceState
from medlarquay.states.listing_state import ListingState
from medlarquay.states.node_gauge import NodeGauge
from medlarquay.states.node_part import NodePart
from medlarquay.states.node_state import NodeState
from medlarquay.states.outcome import Outcome
from medlarquay.states.parent_fault import ParentFault
from medlarquay.states.rank import Rank
from medlarquay.states.reading_mode import ReadingMode
from medlarquay.states.record_side import RecordSide
from medlarquay.states.refusal_reason import RefusalReason
from medlarquay.states.replica_event import ReplicaEvent
from medlarquay.states.retry_denial import RetryDenial
from medlarquay.states.retry_reason import RetryReason
from medlarquay.states.unanswered import Unanswered

__all__ = (
    'ChangeOrigin',
    'DroppedMessage',
    'FragmentKind',
    'ParentFault',
    'ReadingMode',
    'ReplicaEvent',
    'RecordSide',
    'ListingState',
    'NodeGauge',
    'NodePart',
    'BackendState',
    'InstanceState',
    'NodeState',
    'Outcome',
    'Rank',
    'RefusalReason',
    'RetryDenial',
    'RetryReason',
    'Unanswered',
)
