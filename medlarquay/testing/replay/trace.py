"""Traces stored as JSON files."""

import json
import pathlib

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('read_trace',)


def read_trace(path: pathlib.Path) -> list[replay_request.ReplayRequest]:
    """Read the groups of a trace file.

    Notes
    -----
    A file holds a list of groups. Each group has ``rank``, ``count``,
    ``first`` and ``every`` (arrival of the first request and interval of
    the next ones), ``service`` and ``patience``, all in seconds.
    """
    return [
        replay_request.ReplayRequest(
            arrives_at=group['first'] + position * group['every'],
            deadline=(
                group['first'] + position * group['every'] + group['patience']
            ),
            rank=states.Rank(group['rank']),
            service_s=group['service'],
        )
        for group in json.loads(path.read_text())
        for position in range(group['count'])
    ]
