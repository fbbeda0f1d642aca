"""Reading of scenario files."""

import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from medlarquay import errors, states
from medlarquay.lab import demand, period, scenario, server

__all__ = ('read_scenario',)

_MS_PER_SECOND = 1000
_STEP = 'read scenario'
# Raised for a missing file, missing fields and values of another shape.
_READ_ERRORS = (OSError, KeyError, TypeError, ValueError)
_Table = Mapping[str, Any]


def read_scenario(path: pathlib.Path) -> scenario.Scenario:
    """Read a scenario file (TOML).

    Raises
    ------
    SettingError
        If the file cannot be read or a field is missing or malformed.
    """
    try:
        return _build_scenario(tomllib.loads(path.read_text(encoding='utf-8')))
    except _READ_ERRORS as cause:
        raise errors.SettingError(
            f'cannot read the scenario: {cause!r}',
            step=_STEP,
            peer=str(path),
        ) from cause


def _build_scenario(document: _Table) -> scenario.Scenario:
    return scenario.Scenario(
        seconds=float(document['seconds']),
        data_centres_s=document['data_centres_ms'] / _MS_PER_SECOND,
        regions_s=document['regions_ms'] / _MS_PER_SECOND,
        servers=tuple(_build_server(entry) for entry in document['servers']),
        demands=tuple(_build_demand(entry) for entry in document['demands']),
    )


def _build_server(entry: _Table) -> server.Server:
    return server.Server(
        name=entry['name'],
        service=entry['service'],
        data_centre=entry['data_centre'],
        region=entry['region'],
        slots=entry['slots'],
        slowness=entry.get('slowness', 1),
        slow=_build_periods(entry.get('slow', ())),
        failing=entry.get('failing', 0),
        drained=_build_periods(entry.get('drained', ())),
    )


def _build_demand(entry: _Table) -> demand.Demand:
    return demand.Demand(
        name=entry['name'],
        service=entry['service'],
        rank=states.Rank(entry['rank']),
        per_second=entry['per_second'],
        work_s=entry['work_ms'] / _MS_PER_SECOND,
        target_s=entry['target_ms'] / _MS_PER_SECOND,
        limit_s=entry['limit_ms'] / _MS_PER_SECOND,
        worth=entry['worth'],
        late_worth=entry['late_worth'],
        idempotent=entry.get('idempotent', True),
        bursts=_build_periods(entry.get('bursts', ())),
    )


def _build_periods(entries: list[_Table]) -> tuple[period.Period, ...]:
    return tuple(
        period.Period(
            starts_at=entry['from'],
            ends_at=entry['to'],
            factor=entry.get('factor', 1),
        )
        for entry in entries
    )
