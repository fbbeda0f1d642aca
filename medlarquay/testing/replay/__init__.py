"""Discrete-time replay of requests against an admission policy."""

from medlarquay.testing.replay.apply import apply_event, next_check_at
from medlarquay.testing.replay.fifo import Fifo
from medlarquay.testing.replay.flood import Demand, make_flood
from medlarquay.testing.replay.replay import replay
from medlarquay.testing.replay.replay_request import ReplayRequest
from medlarquay.testing.replay.replay_result import ReplayResult
from medlarquay.testing.replay.trace import read_trace

__all__ = (
    'Demand',
    'Fifo',
    'ReplayRequest',
    'ReplayResult',
    'apply_event',
    'next_check_at',
    'make_flood',
    'read_trace',
    'replay',
)
