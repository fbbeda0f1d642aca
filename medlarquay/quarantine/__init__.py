"""Quarantine of requests that crash backend servers; decisions only."""

from medlarquay.quarantine.announce import Announce
from medlarquay.quarantine.decide import Decision, decide
from medlarquay.quarantine.fingerprint import fingerprint_of
from medlarquay.quarantine.hold import Hold
from medlarquay.quarantine.inputs import (
    BackendCrashed,
    Completed,
    StartRequested,
    Stopped,
)
from medlarquay.quarantine.known_reports import known_reports
from medlarquay.quarantine.permit import Permit
from medlarquay.quarantine.quarantine import Quarantine
from medlarquay.quarantine.refuse import Refuse

__all__ = (
    'Announce',
    'BackendCrashed',
    'Completed',
    'Decision',
    'Hold',
    'Permit',
    'Quarantine',
    'Refuse',
    'StartRequested',
    'Stopped',
    'decide',
    'fingerprint_of',
    'known_reports',
)
