"""Agreement of the operators' page with settings and reasons."""

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


@pytest.mark.parametrize('known', setting_list.SETTINGS)
def test_every_setting_is_described(known: setting.Setting) -> None:
    """Guards against a setting that operators cannot learn of."""
    row = f'| `{known.flag}` | `{known.variable}` | '
    default = 'required' if known.default is None else known.default
    assert row in _section('Settings of a node')
    stated = _section('Settings of a node').partition(row)[2].partition(' |')
    assert stated[0].strip('`') == (default or 'none')


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
    """Guards against a reason that operators cannot act on."""
    rows = [
        line.split('`')[1]
        for line in _section(title).splitlines()
        if line.startswith('| `')
    ]
    assert sorted(rows) == sorted(reason.value for reason in reasons)


_FIELD = re.compile(r'(\w+)=')
_NAMES = transport.HeaderNames(request_id=b'idempotency-key')


def test_every_histogram_is_described() -> None:
    """Guards against a measurement that operators cannot learn of."""
    rows = [
        line.split('`')[1]
        for line in _section('Histograms').splitlines()
        if line.startswith('| `')
    ]
    assert rows == [known.name for known in telemetry.Histograms()]


def _log_node_lines() -> None:
    """Let the parts log that have a test bench of their own."""
    measured = test_loop_watch.LoopBench()
    measured.elapse(1)
    measured.turn()
    test_answer_delivery.DeliveryBench().deliver(frame_bytes=90_000, seconds=1)
    test_caller_delivery.DeliveryBench().deliver(seconds=1)
    test_configuration_log.ConfigurationBench().read(3, asked_ago=0)


def _written_fields() -> set[str]:
    with logbook.TestHandler() as handler:
        router = ingress_bench.IngressBench(
            ingress_bench.backend('a1'),
            ingress_bench.backend('a2'),
        )
        router.router.settings = ingress.IngressSettings(names=_NAMES)
        sent = router.send(1, idempotency_key='a1')
        router.refuse(sent.request.call_id, states.RefusalReason.DRAINING)
        owner = owner_bench.OwnerBench()
        owner.owner.local_backend.names = transport.HeaderNames(
            request_id=b'request-timeout-ms',
        )
        owner.call(1)
        owner.answer(1)
        _log_node_lines()
        lines = [record.message for record in handler.records]
    return {name for line in lines for name in _FIELD.findall(line)}


def test_the_fields_of_the_shown_log_lines_exist() -> None:
    """Guards against a page that names what no node writes."""
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
