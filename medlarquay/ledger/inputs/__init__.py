"""Events that change the ledger."""

from medlarquay.ledger.inputs.answered import Answered
from medlarquay.ledger.inputs.backends_replaced import BackendsReplaced
from medlarquay.ledger.inputs.key_received import KeyReceived
from medlarquay.ledger.inputs.key_released import KeyReleased
from medlarquay.ledger.inputs.outcome_lost import OutcomeLost
from medlarquay.ledger.inputs.pause_noticed import PauseNoticed

__all__ = (
    'Answered',
    'BackendsReplaced',
    'OutcomeLost',
    'PauseNoticed',
    'KeyReceived',
    'KeyReleased',
)
