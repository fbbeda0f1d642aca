"""Why a failed request was not attempted again."""

import enum

__all__ = ('RetryDenial',)


class RetryDenial(enum.Enum):
    """Why a failed request was not attempted again."""

    NOT_PROVED_UNRUN = 'not_proved_unrun'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    DEADLINE_TOO_CLOSE = 'deadline_too_close'
    NO_OTHER_BACKEND = 'no_other_backend'
    MARKED_FINAL = 'marked_final'
    NOT_RETRYABLE = 'not_retryable'
    ATTEMPTS_USED = 'attempts_used'
