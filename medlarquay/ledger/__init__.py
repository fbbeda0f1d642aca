"""Idempotency ledger of the backend server beside this node.

Records the outcome of each request with an idempotency key, so that a retry
is answered from the record instead of running the request again.
"""

from medlarquay.ledger.decide import Decision, decide
from medlarquay.ledger.inputs import (
    Answered,
    BackendsReplaced,
    KeyReceived,
    KeyReleased,
    OutcomeLost,
    PauseNoticed,
)
from medlarquay.ledger.ledger import Ledger
from medlarquay.ledger.recorded_answer import RecordedAnswer
from medlarquay.ledger.results import (
    Proceed,
    Refuse,
    Replay,
    ReportDropped,
    ReportUnknown,
    Wait,
)

__all__ = (
    'Answered',
    'Decision',
    'BackendsReplaced',
    'Ledger',
    'OutcomeLost',
    'PauseNoticed',
    'KeyReceived',
    'Proceed',
    'RecordedAnswer',
    'Refuse',
    'Replay',
    'ReportDropped',
    'ReportUnknown',
    'Wait',
    'KeyReleased',
    'decide',
)
