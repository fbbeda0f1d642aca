"""Harm to the link of a machine."""

import enum

__all__ = ('LinkHarm',)


class LinkHarm(enum.Enum):
    """Harm to the link of a machine."""

    DELAYED = 'delayed'
    CUT_OUT = 'cut_out'
    CUT_IN = 'cut_in'
    SILENT = 'silent'
