"""Tests that the operations page matches the settings, reasons and log."""

import enum
import pathlib
import re

import logbook
import pytest

from medlarquay import ingress, states, telemetry, transport
from medlarquay.daemon import setting, setting_list
from medlarquay.tasks.tests import (
    ingress_bench,
    owner_bench,
    test_answer_delivery,
    test_caller_delivery,
    test_configuration_log,
    test_loop_watch,
)

_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'


def _section(title: str) -> str:
    after = _PAGE.read_text().split(f'\n## {title}\n')[1]
    return after.partition('\n## ')[0]


@pytest.mark.parametrize('option', setting_list.SETTINGS)
def test_every_setting_is_described(option: setting.Setting) -> None:
    """Guards against a setting missing from the page, or a wrong default."""
    row = f'| `{option.flag}` | `{option.variable}` | '
    default = 'required' if option.default is None else option.default
    assert row in _section('Settings of a node')
    documented = (
        _section('Settings of a node').partition(row)[2].partition(' |')
    )
    assert documented[0].strip('`') == (default or 'none')


@pytest.mark.parametrize(
    ('title', 'reasons'),
    [
        ('Refusals', states.RefusalReason),
        ('Retries', states.RetryReason),
        ('Retry denials', states.RetryDenial),
        ('Records not applied', states.ReplicaEvent),
        ('Dropped answers', states.DroppedMessage),
        ('Requests without an answer', states.Unanswered),
    ],
)
def test_every_reason_is_described(
    title: str, reasons: type[enum.Enum]
) -> None:
    """Guards against a reason that is missing from the operations page."""
    rows = [
        line.split('`')[1]
        for line in _section(title).splitlines()
        if line.startswith('| `')
    ]
    assert sorted(rows) == sorted(reason.value for reason in reasons)


_FIELD = re.compile(r'(\w+)=')
_NAMES = transport.HeaderNames(request_id=b'idempotency-key')


def test_every_histogram_is_described() -> None:
    """Guards against a histogram that is missing from the operations page."""
    rows = [
        line.split('`')[1]
        for line in _section('Histograms').splitlines()
        if line.startswith('| `')
    ]
    assert rows == [histogram.name for histogram in telemetry.Histograms()]


def _log_node_lines() -> None:
    """Make the parts that have a test bench of their own write log lines."""
    loop_bench = test_loop_watch.LoopBench()
    loop_bench.elapse(1)
    loop_bench.turn()
    test_answer_delivery.DeliveryBench().deliver(frame_bytes=90_000, seconds=1)
    test_caller_delivery.DeliveryBench().deliver(seconds=1)
    test_configuration_log.ConfigurationBench().read(3, asked_ago=0)


def _written_fields() -> set[str]:
    with logbook.TestHandler() as handler:
        ingress_side = ingress_bench.IngressBench(
            ingress_bench.backend('a1'),
            ingress_bench.backend('a2'),
        )
        ingress_side.router.settings = ingress.IngressSettings(names=_NAMES)
        sent = ingress_side.send(1, idempotency_key='a1')
        ingress_side.refuse(sent.request.call_id, states.RefusalReason.DRAINING)
        owner_side = owner_bench.OwnerBench()
        owner_side.owner.local_backend.names = transport.HeaderNames(
            request_id=b'request-timeout-ms',
        )
        owner_side.call(1)
        owner_side.answer(1)
        _log_node_lines()
        lines = [record.message for record in handler.records]
    return {name for line in lines for name in _FIELD.findall(line)}


def test_documented_log_fields_are_written() -> None:
    """Guards against documented log fields that no node writes."""
    section = _section('What became of one request')
    lines = [line for line in section.splitlines() if ' request=' in line]
    shown = {name for line in lines for name in _FIELD.findall(line)}
    written = _written_fields()
    assert len(lines) >= 6
    assert shown <= written
    table = {
        name
        for line in section.splitlines()
        if line.startswith('| `')
        for name in re.findall('`([a-z_]+)`', line.split('|')[1])
    }
    assert table <= written
