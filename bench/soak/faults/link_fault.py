"""Temporary impairment of the link of a machine."""

import dataclasses

from bench.soak.faults import fault, link_harm

__all__ = ('LinkFault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkFault(fault.Fault):
    """Temporary impairment of the link of a machine.

    Attributes
    ----------
    harm : LinkHarm
        Type of the impairment.
    """

    harm: link_harm.LinkHarm
