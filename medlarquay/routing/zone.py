"""Distance class of a backend server from the ingress."""

import enum

__all__ = ('Zone',)


class Zone(enum.Enum):
    """Distance class of a backend server from the ingress."""

    DATA_CENTRE = 'data_centre'
    REGION = 'region'
    OTHER_REGION = 'other_region'
