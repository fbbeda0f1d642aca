"""Agreement of the operators' page with settings and reasons."""

import enum
import pathlib

import pytest

from medlarquay import states
from medlarquay.daemon import setting, setting_list

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
