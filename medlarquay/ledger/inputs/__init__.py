"""Events that the ledger decides on."""

from medlarquay.ledger.inputs.answered import Answered
from medlarquay.ledger.inputs.endpoints_replaced import EndpointsReplaced
from medlarquay.ledger.inputs.outcome_lost import OutcomeLost
from medlarquay.ledger.inputs.pause_noticed import PauseNoticed
from medlarquay.ledger.inputs.presented import Presented
from medlarquay.ledger.inputs.withdrawn import Withdrawn

__all__ = (
    'Answered',
    'EndpointsReplaced',
    'OutcomeLost',
    'PauseNoticed',
    'Presented',
    'Withdrawn',
)
