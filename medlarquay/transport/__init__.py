"""Network protocols: parse bytes into typed messages and format them.

The package makes no routing or admission decisions.
"""

from medlarquay.transport.accepting_port import AcceptingPort
from medlarquay.transport.backend_connection import BackendConnection
from medlarquay.transport.caller_connection import CallerConnection
from medlarquay.transport.caller_connections import CallerConnections
from medlarquay.transport.factories import BuildingFactory
from medlarquay.transport.fragment import Fragment
from medlarquay.transport.header_names import HeaderNames
from medlarquay.transport.http_text import HOP_BY_HOP, format_answer
from medlarquay.transport.link import Link
from medlarquay.transport.send_report import SendReport, lost_send_report

__all__ = (
    'HOP_BY_HOP',
    'AcceptingPort',
    'BackendConnection',
    'BuildingFactory',
    'CallerConnection',
    'CallerConnections',
    'Fragment',
    'HeaderNames',
    'Link',
    'SendReport',
    'format_answer',
    'lost_send_report',
)
