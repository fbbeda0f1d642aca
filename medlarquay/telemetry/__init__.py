"""Counters, their export and logs."""

from medlarquay.telemetry.counters import Counters

__all__ = ('Counters',)
