"""Reading of scenario files."""

import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from medlarquay import errors, states
from medlarquay.lab import demand, period, scenario, server

__all__ = ('read_scenario',)

_MS = 1000
_STEP = 'read scenario'
# What a missing file and a value of another shape raise.
_UNREADABLE = (OSError, KeyError, TypeError, ValueError)
_Table = Mapping[str, Any]


def read_scenario(path: pathlib.Path) -> scenario.Scenario:
    """Read a scenario file (TOML).

    Raises
    ------
    SettingError
        If the file cannot be read or a field is missing or malformed.
    """
    try:
        return _scenario(tomllib.loads(path.read_text(encoding='utf-8')))
    except _UNREADABLE as cause:
        raise errors.SettingError(
            f'cannot read the scenario: {cause!r}',
            step=_STEP,
            peer=str(path),
        ) from cause


def _scenario(found: _Table) -> scenario.Scenario:
    return scenario.Scenario(
        seconds=float(found['seconds']),
        data_centres_s=found['data_centres_ms'] / _MS,
        regions_s=found['regions_ms'] / _MS,
        servers=tuple(_server(entry) for entry in found['servers']),
        demands=tuple(_demand(entry) for entry in found['demands']),
    )


def _server(entry: _Table) -> server.Server:
    return server.Server(
        name=entry['name'],
        service=entry['service'],
        data_centre=entry['data_centre'],
        region=entry['region'],
        slots=entry['slots'],
        slowness=entry.get('slowness', 1),
        slow=_periods(entry.get('slow', ())),
        failing=entry.get('failing', 0),
        drained=_periods(entry.get('drained', ())),
    )


def _demand(entry: _Table) -> demand.Demand:
    return demand.Demand(
        name=entry['name'],
        service=entry['service'],
        rank=states.Rank(entry['rank']),
        per_second=entry['per_second'],
        work_s=entry['work_ms'] / _MS,
        target_s=entry['target_ms'] / _MS,
        limit_s=entry['limit_ms'] / _MS,
        worth=entry['worth'],
        late_worth=entry['late_worth'],
        idempotent=entry.get('idempotent', True),
        bursts=_periods(entry.get('bursts', ())),
    )


def _periods(entries: list[_Table]) -> tuple[period.Period, ...]:
    return tuple(
        period.Period(
            starts_at=entry['from'],
            ends_at=entry['to'],
            factor=entry.get('factor', 1),
        )
        for entry in entries
    )
