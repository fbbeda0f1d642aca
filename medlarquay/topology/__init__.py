"""Who follows whom and who reads the source; decisions only."""

from medlarquay.topology.backoff import Backoff
from medlarquay.topology.choice import Choice
from medlarquay.topology.choose import FAN_OUT, choose
from medlarquay.topology.members import Members
from medlarquay.topology.peer import Peer
from medlarquay.topology.rank_value import rank_value
from medlarquay.topology.situation import Situation
from medlarquay.topology.source_limiter import LIST_BURST, SourceLimiter
from medlarquay.topology.suspects import Suspects

__all__ = (
    'FAN_OUT',
    'Backoff',
    'Choice',
    'Members',
    'Peer',
    'Situation',
    'LIST_BURST',
    'SourceLimiter',
    'Suspects',
    'choose',
    'rank_value',
)
