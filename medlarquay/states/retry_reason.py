"""Why a request was attempted again on another backend server."""

import enum

__all__ = ('RetryReason',)


class RetryReason(enum.Enum):
    """Why a request was attempted again on another backend server."""

    OWNER_UNREACHABLE = 'owner_unreachable'
    REFUSED_DRAINING = 'refused_draining'
    REFUSED_FOR_LOAD = 'refused_for_load'
    REFUSED_BACKEND_DOWN = 'refused_backend_down'
    REFUSED_NOT_READY = 'refused_not_ready'
    REFUSED_NOT_HOME = 'refused_not_home'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OWNER_SILENT = 'owner_silent'
    ANSWERED_FAILURE = 'answered_failure'
