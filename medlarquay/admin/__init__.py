"""HTTP admin pages of a node, for operators.

``pages`` is not re-exported, so that klein is imported only where it is used.
"""

from medlarquay.admin.admin import Admin
from medlarquay.admin.observed_node import ObservedNode

__all__ = ('Admin', 'ObservedNode')
