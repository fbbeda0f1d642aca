"""What is counted at present, instead of since the start."""

import enum

__all__ = ('NodeGauge',)


class NodeGauge(enum.Enum):
    """What is counted at present, instead of since the start.

    The value is the name of the metric.
    """

    #: Documents whose newest version is not in force.
    DOCUMENTS_REJECTED = 'documents_rejected'
