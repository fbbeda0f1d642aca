"""Records of the configuration and the rules by which they merge."""

from medlarquay.replica.documents import digest_of, parse_instance
from medlarquay.replica.instance_record import InstanceRecord
from medlarquay.replica.team_record import TeamRecord

__all__ = (
    'digest_of',
    'parse_instance',
    'InstanceRecord',
    'TeamRecord',
)
