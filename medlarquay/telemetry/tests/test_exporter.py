"""Tests of the export in the Prometheus text format."""

import enum
import subprocess
import sys

from medlarquay import states, telemetry
from medlarquay.telemetry import exporter


class LinkEvent(enum.Enum):
    """Events of links."""

    OPENED = 'opened'


def _value(text: str, name: str, reason: str) -> str:
    lines = [
        line
        for line in text.splitlines()
        if line.startswith(f'{name}{{') and f'reason="{reason}"' in line
    ]
    assert len(lines) == 1
    return lines[0].rpartition(' ')[2]


def test_each_enumeration_is_a_metric_of_its_own() -> None:
    """Guards against equal reasons of refusals and retries in one metric."""
    counts = telemetry.Counters()
    counts.increment(states.RefusalReason.OWNER_UNREACHABLE, amount=3)
    counts.increment(states.RetryReason.OWNER_UNREACHABLE)
    exported = exporter.Exporter(counts=counts)
    first = exported.render().decode()
    assert _value(first, 'medlarquay_refusals_total', 'owner_unreachable') == (
        '3.0'
    )
    assert _value(first, 'medlarquay_retries_total', 'owner_unreachable') == (
        '1.0'
    )
    assert _value(first, 'medlarquay_refusals_total', 'shed') == '0.0'


def test_enumeration_counted_after_the_first_export_is_exported() -> None:
    """Guards against an export that misses the counters of a task."""
    counts = telemetry.Counters()
    exported = exporter.Exporter(counts=counts)
    exported.render()
    counts.increment(LinkEvent.OPENED, amount=2)
    text = exported.render().decode()
    assert _value(text, 'medlarquay_link_event_total', 'opened') == '2.0'


def test_histograms_are_exported() -> None:
    """Guards against an export that misses the histograms."""
    counts = telemetry.Counters()
    histograms = counts.histograms
    histograms.answer_left.observe(0.003)
    histograms.answer_left.observe(4.3)
    exported = exporter.Exporter(counts=counts)
    lines = exported.render().decode().splitlines()
    name = 'medlarquay_answer_left_seconds'
    assert f'# TYPE {name} histogram' in lines
    assert f'{name}_bucket{{le="0.002"}} 0.0' in lines
    assert f'{name}_bucket{{le="0.005"}} 1.0' in lines
    assert f'{name}_bucket{{le="+Inf"}} 2.0' in lines
    assert f'{name}_count 2.0' in lines
    assert f'{name}_sum 4.303' in lines
    assert f'{name}_max 4.3' in lines
    assert 'medlarquay_loop_lag_seconds_count 0.0' in lines


def test_nodes_do_not_share_histograms() -> None:
    """Guards against a value of one node that is counted for another."""
    first, second = telemetry.Counters(), telemetry.Counters()
    first.histograms.run.observe(0.5)
    assert (first.histograms.run.count, second.histograms.run.count) == (1, 0)


def test_start_of_a_node_does_not_import_admin_libraries() -> None:
    """Guards against 10.6 MB of memory in nodes without admin requests."""
    code = (
        'import sys, medlarquay.daemon.node;'
        'sys.exit(bool({"opentelemetry.sdk", "klein"} & set(sys.modules)))'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
