"""Reader of trace files (JSON)."""

import json
import pathlib

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('read_trace',)


def read_trace(path: pathlib.Path) -> list[replay_request.ReplayRequest]:
    """Read the requests of a trace file.

    Notes
    -----
    A file holds a list of groups of requests. Each group has ``rank`` and
    ``count`` and, in seconds, ``first`` (arrival of the first request),
    ``every`` (interval between arrivals), ``service`` (service time) and
    ``patience`` (time from the arrival to the deadline).
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
