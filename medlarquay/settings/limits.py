"""Defaults and ranges of the operators' settings."""

from medlarquay.settings import http_method

__all__ = (
    'DEFAULT_ATTEMPTS',
    'DEFAULT_COLD_START_MS',
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

# The source holds values of at most 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
# The schema needs 4 levels.
MAX_NESTING = 8
# The planned fleet has 1,000 services in all. Without these limits a document
# of 1 MB can hold 80,000 services, and checking them stops the node for 3 s.
MAX_SERVICES = 1000
MAX_ROUTES = 4000
# One DNS label, and one DNS name.
MAX_NAME_LENGTH = 63
MAX_HOST_LENGTH = 253
MAX_PATH_PREFIX_LENGTH = 1024

DEFAULT_QUEUE_LIMIT = 64
MAX_QUEUE_LIMIT = 4096

DEFAULT_COLD_START_MS = 0
MAX_COLD_START_MS = 600_000

#: Team of a platform that publishes one document for all; its routes may
#: name any host, since no other team has a subtree there.
SHARED_TEAM = 'operators'
DEFAULT_ATTEMPTS = 3
MAX_ATTEMPTS = 16
MAX_SPLIT_PARTS = 16
MAX_WEIGHT = 1_000_000
DEFAULT_TIMEOUT_MS = 2000
MAX_TIMEOUT_MS = 600_000

# A tenth of the slot time stays free of guarantees, so that the most urgent
# work always has slots to be served first.
MAX_FLOOR_SUM = 0.9

DEFAULT_PATH_PREFIX = '/'
DEFAULT_IDEMPOTENT_METHODS = (
    http_method.HttpMethod.GET,
    http_method.HttpMethod.HEAD,
    http_method.HttpMethod.OPTIONS,
    http_method.HttpMethod.PUT,
    http_method.HttpMethod.DELETE,
)
