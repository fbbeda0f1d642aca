"""Counters in the Prometheus text format."""

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


def test_each_enumeration_is_one_metric() -> None:
    """Guards against a reason that operators cannot tell from another."""
    counts = telemetry.Counters()
    counts.increment(states.RefusalReason.OWNER_UNREACHABLE, amount=3)
    counts.increment(states.RetryReason.OWNER_UNREACHABLE)
    rendered = exporter.Exporter(counts=counts)
    first = rendered.render().decode()
    assert _value(first, 'medlarquay_refusals_total', 'owner_unreachable') == (
        '3.0'
    )
    assert _value(first, 'medlarquay_retries_total', 'owner_unreachable') == (
        '1.0'
    )
    assert _value(first, 'medlarquay_refusals_total', 'shed') == '0.0'


def test_enumeration_counted_later_is_exported() -> None:
    """Guards against a task's own counters missing from the export."""
    counts = telemetry.Counters()
    rendered = exporter.Exporter(counts=counts)
    rendered.render()
    counts.increment(LinkEvent.OPENED, amount=2)
    text = rendered.render().decode()
    assert _value(text, 'medlarquay_link_event_total', 'opened') == '2.0'


def test_histograms_are_exported() -> None:
    """Guards against latencies that operators cannot read."""
    counts = telemetry.Counters()
    measured = counts.histograms
    measured.answer_left.observe(0.003)
    measured.answer_left.observe(4.3)
    rendered = exporter.Exporter(counts=counts)
    lines = rendered.render().decode().splitlines()
    name = 'medlarquay_answer_left_seconds'
    assert f'# TYPE {name} histogram' in lines
    assert f'{name}_bucket{{le="0.002"}} 0.0' in lines
    assert f'{name}_bucket{{le="0.005"}} 1.0' in lines
    assert f'{name}_bucket{{le="+Inf"}} 2.0' in lines
    assert f'{name}_count 2.0' in lines
    assert f'{name}_sum 4.303' in lines
    assert f'{name}_max 4.3' in lines
    assert 'medlarquay_loop_lag_seconds_count 0.0' in lines


def test_histograms_of_nodes_are_apart() -> None:
    """Guards against values of one node counted for another."""
    first, second = telemetry.Counters(), telemetry.Counters()
    first.histograms.run.observe(0.5)
    assert (first.histograms.run.count, second.histograms.run.count) == (1, 0)


def test_idle_node_does_not_load_operators_code() -> None:
    """Guards against 10.6 MB in nodes that no operator asks."""
    code = (
        'import sys, medlarquay.daemon.node;'
        'sys.exit(bool({"opentelemetry.sdk", "klein"} & set(sys.modules)))'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
