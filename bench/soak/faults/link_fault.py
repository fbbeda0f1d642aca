"""The link of a machine is harmed for a time."""

import dataclasses

from bench.soak.faults import fault, link_harm

__all__ = ('LinkFault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkFault(fault.Fault):
    """The link of a machine is harmed for a time.

    Attributes
    ----------
    harm : LinkHarm
        What happens to it.
    """

    harm: link_harm.LinkHarm
