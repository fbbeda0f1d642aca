"""When large frames use the link of the machine (decisions only)."""

from medlarquay.pacing.backlog_report import BacklogReport
from medlarquay.pacing.drop_frame import DropFrame
from medlarquay.pacing.large_frame import LargeFrame
from medlarquay.pacing.pace import PACED_SHARE, Pace, fragment_bytes
from medlarquay.pacing.schedule import Schedule, Step
from medlarquay.pacing.send_part import SendPart
from medlarquay.pacing.urgency import NO_HURRY, Urgency
from medlarquay.pacing.wait import Wait

__all__ = (
    'NO_HURRY',
    'PACED_SHARE',
    'BacklogReport',
    'DropFrame',
    'LargeFrame',
    'Pace',
    'Schedule',
    'SendPart',
    'Step',
    'Urgency',
    'Wait',
    'fragment_bytes',
)
