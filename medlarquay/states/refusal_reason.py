"""Why a request was answered by the system instead of a backend server."""

import enum

__all__ = ('RefusalReason',)


class RefusalReason(enum.Enum):
    """Why a request was answered by the system instead of a backend server."""

    MALFORMED = 'malformed'
    HEADER_TOO_LARGE = 'header_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    REQUEST_TOO_SLOW = 'request_too_slow'
    NO_ROUTE = 'no_route'
    NO_CONFIGURATION = 'no_configuration'
    NO_BACKEND = 'no_backend'
    DRAINING = 'draining'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    LINK_FULL = 'link_full'
    DEADLINE_PASSED = 'deadline_passed'
    SHED = 'shed'
    COLD_START = 'cold_start'
    BACKEND_DOWN = 'backend_down'
    QUARANTINED = 'quarantined'
    NOT_HOME = 'not_home'
    KEY_HOME_LOST = 'key_home_lost'
    KEY_HISTORY_UNKNOWN = 'key_history_unknown'
    KEY_REUSED = 'key_reused'
    KEY_RESULT_DROPPED = 'key_result_dropped'
    KEY_INVALID = 'key_invalid'
    LEDGER_FULL = 'ledger_full'
    FRESHNESS_LOST = 'freshness_lost'
    OWNER_UNREACHABLE = 'owner_unreachable'
    OWNER_LOST = 'owner_lost'
    BACKEND_LOST = 'backend_lost'
    ANSWER_TOO_LARGE = 'answer_too_large'
    CANCELLED = 'cancelled'
    INTERNAL_ERROR = 'internal_error'
