"""Enumerated states and reasons."""

from medlarquay.states.dropped_message import DroppedMessage
from medlarquay.states.instance_state import InstanceState
from medlarquay.states.node_part import NodePart
from medlarquay.states.node_state import NodeState
from medlarquay.states.outcome import Outcome
from medlarquay.states.rank import Rank
from medlarquay.states.record_side import RecordSide
from medlarquay.states.refusal_reason import RefusalReason
from medlarquay.states.retry_denial import RetryDenial
from medlarquay.states.retry_reason import RetryReason

__all__ = (
    'DroppedMessage',
    'RecordSide',
    'NodePart',
    'InstanceState',
    'NodeState',
    'Outcome',
    'Rank',
    'RefusalReason',
    'RetryDenial',
    'RetryReason',
)
