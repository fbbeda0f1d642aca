"""Idempotency ledger of one backend server."""

from medlarquay.ledger.decide import Decision, decide
from medlarquay.ledger.inputs import (
    Answered,
    EndpointsReplaced,
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
    'EndpointsReplaced',
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
