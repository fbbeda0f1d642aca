"""What is known about whether a request ran."""

import enum

__all__ = ('Outcome',)


class Outcome(enum.Enum):
    """What is known about whether a request ran."""

    RUN = 'run'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
