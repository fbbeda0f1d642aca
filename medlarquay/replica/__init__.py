"""Replicated records of the configuration and the rules to merge them."""

from medlarquay.replica.acceptance import build_team_record, check_record
from medlarquay.replica.apply_result import ApplyResult
from medlarquay.replica.apply_source import apply_source
from medlarquay.replica.content_edit import ContentEdit
from medlarquay.replica.delta import Delta
from medlarquay.replica.documents import (
    digest_of,
    parse_instance,
    parse_listed,
)
from medlarquay.replica.floor import FRESH_S, STARTUP_S, Floor
from medlarquay.replica.freshness import Freshness
from medlarquay.replica.instance_record import InstanceRecord, tombstone
from medlarquay.replica.join import join_records
from medlarquay.replica.lapse_guard import LapseGuard
from medlarquay.replica.replica import Replica
from medlarquay.replica.source_tree import SourceTree
from medlarquay.replica.source_value import SourceValue
from medlarquay.replica.split import split_delta
from medlarquay.replica.team_difference import TeamDifference
from medlarquay.replica.team_record import TeamRecord
from medlarquay.replica.version_vector import VersionVector

__all__ = (
    'LapseGuard',
    'FRESH_S',
    'STARTUP_S',
    'ApplyResult',
    'ContentEdit',
    'Delta',
    'Floor',
    'Freshness',
    'InstanceRecord',
    'Replica',
    'SourceTree',
    'SourceValue',
    'TeamDifference',
    'TeamRecord',
    'VersionVector',
    'apply_source',
    'check_record',
    'digest_of',
    'join_records',
    'parse_instance',
    'parse_listed',
    'build_team_record',
    'split_delta',
    'tombstone',
)
