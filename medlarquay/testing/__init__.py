"""Test doubles of the platform: source, backend server and caller."""

from medlarquay.testing.comparison import Comparison, compare
from medlarquay.testing.load_mix import LoadMix
from medlarquay.testing.load_plan import LoadPlan
from medlarquay.testing.run_entry import RunEntry
from medlarquay.testing.told_entry import ToldEntry

__all__ = (
    'Comparison',
    'LoadMix',
    'LoadPlan',
    'RunEntry',
    'ToldEntry',
    'compare',
)
