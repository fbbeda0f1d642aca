"""Operators' HTTP pages.

``pages`` is not re-exported, so that klein is loaded only where needed.
"""

from medlarquay.admin.admin import Admin
from medlarquay.admin.observed_node import ObservedNode

__all__ = ('Admin', 'ObservedNode')
