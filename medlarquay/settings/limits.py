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
    'SOURCE_VALUE_BYTES',
)

#: Largest value that the source stores, in bytes. The limits on documents,
#: their messages and their differences follow from it: what the source accepts
#: must come into force.
SOURCE_VALUE_BYTES = 1 << 20
# The platform publishes tables whose rows have no field names. Translated to
# JSON, a table of shortest rows becomes six times as long.
_MAX_TRANSLATION_RATIO = 8
MAX_DOCUMENT_BYTES = SOURCE_VALUE_BYTES * _MAX_TRANSLATION_RATIO
# Levels of nested arrays and objects; the schema needs 4.
MAX_NESTING = 8
# A published row of a route has at least nine fields, and no two rows have the
# same name and prefix.
_MIN_ROW_BYTES = 24
MAX_ROUTES = SOURCE_VALUE_BYTES // _MIN_ROW_BYTES
# Of more published services only those with a route are translated.
MAX_SERVICES = MAX_ROUTES
# Maximum lengths of a DNS label and of a DNS name.
MAX_NAME_LENGTH = 63
MAX_HOST_LENGTH = 253
# A longer path does not fit into the header of a request.
MAX_PATH_PREFIX_LENGTH = 16384

DEFAULT_QUEUE_LIMIT = 64
MAX_QUEUE_LIMIT = 4096

DEFAULT_COLD_START_MS = 0
MAX_COLD_START_MS = 600_000

#: Team name on a platform that publishes a single document for all teams. Its
#: routes may name any host, because no other team has a subtree there.
SHARED_TEAM = 'operators'
DEFAULT_ATTEMPTS = 3
MAX_ATTEMPTS = 100
MAX_SPLIT_PARTS = 1000
MAX_WEIGHT = 1_000_000
DEFAULT_TIMEOUT_MS = 2000
# A day; no caller waits longer.
MAX_TIMEOUT_MS = 86_400_000

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
