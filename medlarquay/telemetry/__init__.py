"""Counters, their export, call records and logs."""

from medlarquay.telemetry.call_record import CallRecord
from medlarquay.telemetry.counters import Counters
from medlarquay.telemetry.link_bytes import LinkBytes
from medlarquay.telemetry.record_log import RecordLog

__all__ = ('CallRecord', 'Counters', 'LinkBytes', 'RecordLog')
