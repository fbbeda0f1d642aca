"""Owner selection, observations of backend servers and retry decisions.

The package decides only; it sends and receives nothing.
"""

from medlarquay.routing.answer_observed import AnswerObserved
from medlarquay.routing.any_owner_query import AnyOwnerQuery
from medlarquay.routing.bound_key_query import BoundKeyQuery
from medlarquay.routing.call_parameters import CallParameters
from medlarquay.routing.call_sent import CallSent
from medlarquay.routing.call_withdrawn import CallWithdrawn
from medlarquay.routing.candidates import Candidates, group_candidates
from medlarquay.routing.choice_refused import ChoiceRefused
from medlarquay.routing.choose import choose
from medlarquay.routing.decide_retry import decide_retry
from medlarquay.routing.expected_time import expected_time
from medlarquay.routing.link_cost import ROUND_TRIP_S
from medlarquay.routing.location import Location
from medlarquay.routing.loss_observed import LossObserved
from medlarquay.routing.observations import Observations
from medlarquay.routing.observe import observe
from medlarquay.routing.offers_first import offers_first
from medlarquay.routing.owner_chosen import OwnerChosen
from medlarquay.routing.plain_key_query import PlainKeyQuery
from medlarquay.routing.proves_not_sent import proves_not_sent
from medlarquay.routing.read_parameters import read_parameters
from medlarquay.routing.refusal_observed import RefusalObserved
from medlarquay.routing.region import count_eligible_owners
from medlarquay.routing.retry_budget import RetryBudget
from medlarquay.routing.retry_budgets import RetryBudgets
from medlarquay.routing.retry_context import RetryContext
from medlarquay.routing.retry_denied import RetryDenied
from medlarquay.routing.retry_granted import RetryGranted
from medlarquay.routing.routing_state import RoutingState
from medlarquay.routing.service_for_key import KEY_PATH, service_for_key
from medlarquay.routing.split_round_robin import SplitRoundRobin
from medlarquay.routing.zone import Zone

__all__ = (
    'KEY_PATH',
    'ROUND_TRIP_S',
    'service_for_key',
    'proves_not_sent',
    'read_parameters',
    'CallParameters',
    'RetryGranted',
    'RetryDenied',
    'RetryBudget',
    'RetryBudgets',
    'expected_time',
    'decide_retry',
    'RetryContext',
    'AnswerObserved',
    'AnyOwnerQuery',
    'BoundKeyQuery',
    'CallSent',
    'CallWithdrawn',
    'Candidates',
    'ChoiceRefused',
    'RoutingState',
    'PlainKeyQuery',
    'Location',
    'LossObserved',
    'Observations',
    'OwnerChosen',
    'RefusalObserved',
    'SplitRoundRobin',
    'Zone',
    'choose',
    'group_candidates',
    'observe',
    'offers_first',
    'count_eligible_owners',
)
