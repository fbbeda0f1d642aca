"""Data of the admin pages, one type for each page."""

from medlarquay.admin.views.codec import decode_view, encode_chunks, encode_view
from medlarquay.admin.views.counter_view import CounterView
from medlarquay.admin.views.explain_view import ExplainView
from medlarquay.admin.views.health_view import HealthView
from medlarquay.admin.views.member_view import MemberView
from medlarquay.admin.views.ready_view import ReadyView
from medlarquay.admin.views.record_view import RecordView
from medlarquay.admin.views.rejected_view import RejectedView
from medlarquay.admin.views.route_view import RouteView
from medlarquay.admin.views.version_view import VersionView

__all__ = (
    'CounterView',
    'ExplainView',
    'HealthView',
    'MemberView',
    'ReadyView',
    'RecordView',
    'RejectedView',
    'RouteView',
    'VersionView',
    'decode_view',
    'encode_chunks',
    'encode_view',
)
