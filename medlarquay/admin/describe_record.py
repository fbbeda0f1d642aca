"""Views of call records."""

from collections.abc import Iterator

from medlarquay import telemetry
from medlarquay.admin import observed_node, views

__all__ = ('describe_records',)


def describe_records(
    node: observed_node.ObservedNode,
) -> Iterator[views.RecordView]:
    """Iterate over the latest call records, oldest first."""
    return map(_describe_record, node.records)


def _describe_record(record: telemetry.CallRecord) -> views.RecordView:
    return views.RecordView(
        recorded_at=record.recorded_at,
        side=record.side.value,
        team=record.team,
        service=record.service,
        method=_escape(record.method),
        target=_escape(record.target),
        request_key=record.request_key,
        outcome=record.outcome.value,
        status=record.status,
        reason=None if record.reason is None else record.reason.value,
    )


def _escape(octets: bytes) -> str:
    # Callers choose these octets; escaping keeps different values distinct and
    # the text printable.
    return octets.decode('ascii', 'backslashreplace')
