"""Pacing of large frames on the machine's link (decisions without I/O)."""

from medlarquay.pacing.backlog_reporter import BacklogReporter
from medlarquay.pacing.body_intake import BodyIntake
from medlarquay.pacing.drop_frame import DropFrame
from medlarquay.pacing.large_frame import LargeFrame
from medlarquay.pacing.offered_body import OfferedBody
from medlarquay.pacing.pace import PACED_SHARE, Pace, fragment_bytes
from medlarquay.pacing.schedule import Schedule, Step
from medlarquay.pacing.send_fragment import SendFragment
from medlarquay.pacing.urgency import NO_DEADLINE, Urgency
from medlarquay.pacing.wait import Wait

__all__ = (
    'NO_DEADLINE',
    'PACED_SHARE',
    'BacklogReporter',
    'BodyIntake',
    'DropFrame',
    'LargeFrame',
    'OfferedBody',
    'Pace',
    'Schedule',
    'SendFragment',
    'Step',
    'Urgency',
    'Wait',
    'fragment_bytes',
)
