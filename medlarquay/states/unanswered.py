"""Why a request ended at its ingress without an answer."""

import enum

__all__ = ('Unanswered',)


class Unanswered(enum.Enum):
    """Why a request ended at its ingress without an answer."""

    CALLER_GONE = 'caller_gone'
    NODE_STOPPED = 'node_stopped'
