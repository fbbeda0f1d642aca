"""Defaults and ranges of the fields of team documents."""

from collections.abc import Mapping
from types import MappingProxyType

from medlarquay import states
from medlarquay.settings import http_method

__all__ = (
    'DEFAULT_ATTEMPTS',
    'DEFAULT_COLD_START_MS',
    'DEFAULT_FLOORS',
    'DEFAULT_IDEMPOTENT_METHODS',
    'DEFAULT_PATH_PREFIX',
    'DEFAULT_QUEUE_LIMIT',
    'DEFAULT_TIMEOUT_MS',
    'MAX_ATTEMPTS',
    'MAX_COLD_START_MS',
    'MAX_DOCUMENT_BYTES',
    'MAX_FLOOR_SUM',
    'MAX_HOST_LENGTH',
    'MAX_NAME_LENGTH',
    'MAX_NESTING',
    'MAX_PATH_PREFIX_LENGTH',
    'MAX_QUEUE_LIMIT',
    'MAX_ROUTES',
    'MAX_SERVICES',
    'MAX_SPLIT_PARTS',
    'MAX_TIMEOUT_MS',
    'MAX_WEIGHT',
    'SHARED_TEAM',
)

# The source stores values of at most 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
# Levels of nested arrays and objects; the schema needs 4.
MAX_NESTING = 8
# The planned fleet has 1,000 services in total. Without these limits a document
# of 1 MB could hold 80,000 services, whose validation blocks the node for 3 s.
MAX_SERVICES = 1000
MAX_ROUTES = 4000
# Maximum lengths of a DNS label and of a DNS name.
MAX_NAME_LENGTH = 63
MAX_HOST_LENGTH = 253
MAX_PATH_PREFIX_LENGTH = 1024

DEFAULT_QUEUE_LIMIT = 64
MAX_QUEUE_LIMIT = 4096

DEFAULT_COLD_START_MS = 0
MAX_COLD_START_MS = 600_000

#: Team name on a platform that publishes a single document for all teams. Its
#: routes may name any host, because no other team has a subtree there.
SHARED_TEAM = 'operators'
DEFAULT_ATTEMPTS = 3
MAX_ATTEMPTS = 16
MAX_SPLIT_PARTS = 16
MAX_WEIGHT = 1_000_000
DEFAULT_TIMEOUT_MS = 2000
MAX_TIMEOUT_MS = 600_000

#: Share of slot time of each rank of a service that states no floors. Without
#: them a lasting overload of urgent requests would stop all other work. The
#: shares are small, so that urgent requests keep four fifths of the slot time.
DEFAULT_FLOORS: Mapping[states.Rank, float] = MappingProxyType({
    states.Rank.URGENT: 0,
    states.Rank.NORMAL: 0.1,
    states.Rank.BULK: 0.1,
})
# A tenth of the slot time is not guaranteed to any rank, so that the most
# urgent requests always have slots in which they are served first.
MAX_FLOOR_SUM = 0.9

DEFAULT_PATH_PREFIX = '/'
DEFAULT_IDEMPOTENT_METHODS = (
    http_method.HttpMethod.GET,
    http_method.HttpMethod.HEAD,
    http_method.HttpMethod.OPTIONS,
    http_method.HttpMethod.PUT,
    http_method.HttpMethod.DELETE,
)
