"""Decisions of the ledger on a request with an idempotency key."""

from medlarquay.ledger.results.proceed import Proceed
from medlarquay.ledger.results.refuse import Refuse
from medlarquay.ledger.results.replay import Replay
from medlarquay.ledger.results.report_dropped import ReportDropped
from medlarquay.ledger.results.report_unknown import ReportUnknown
from medlarquay.ledger.results.wait import Wait

__all__ = (
    'Proceed',
    'Refuse',
    'Replay',
    'ReportDropped',
    'ReportUnknown',
    'Wait',
)
