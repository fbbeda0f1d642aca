"""Counters, histograms, their export, call records and logs.

``exporter`` and ``histogram_collector`` are not re-exported, so that they are
loaded only where needed.
"""

from medlarquay.telemetry.bounded_stream import BoundedStream
from medlarquay.telemetry.call_record import CallRecord
from medlarquay.telemetry.counters import Counters
from medlarquay.telemetry.histogram import Histogram
from medlarquay.telemetry.histograms import Histograms
from medlarquay.telemetry.link_bytes import LinkBytes
from medlarquay.telemetry.log_fields import format_fields
from medlarquay.telemetry.logs import LOG_LEVELS, set_up_logs
from medlarquay.telemetry.record_log import RecordLog

__all__ = (
    'BoundedStream',
    'CallRecord',
    'Counters',
    'Histogram',
    'Histograms',
    'LOG_LEVELS',
    'LinkBytes',
    'RecordLog',
    'format_fields',
    'set_up_logs',
)
