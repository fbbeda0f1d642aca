"""Records of the configuration and the rules by which they merge."""

from medlarquay.replica.team_record import TeamRecord
from medlarquay.replica.instance_record import InstanceRecord

__all__ = (
    'InstanceRecord',
    'TeamRecord',
)
