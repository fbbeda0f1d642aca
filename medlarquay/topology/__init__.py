"""Topology of the distribution tree: choice of parents and source readers.

The package only decides; tasks open the links and read the source.
"""

from medlarquay.topology.backoff import Backoff
from medlarquay.topology.choose_upstream import choose_upstream
from medlarquay.topology.members import Members
from medlarquay.topology.order_hash import order_hash
from medlarquay.topology.parent_position import FAN_OUT
from medlarquay.topology.peer import Peer
from medlarquay.topology.source_limiter import LIST_BURST, SourceLimiter
from medlarquay.topology.suspects import Suspects
from medlarquay.topology.topology_state import TopologyState
from medlarquay.topology.upstream_choice import UpstreamChoice

__all__ = (
    'FAN_OUT',
    'Backoff',
    'UpstreamChoice',
    'Members',
    'Peer',
    'TopologyState',
    'LIST_BURST',
    'SourceLimiter',
    'Suspects',
    'choose_upstream',
    'order_hash',
)
