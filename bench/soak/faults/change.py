"""The operators publish a version of their document."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Change',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change(fault.Fault):
    """The operators publish a version of their document.

    Attributes
    ----------
    version : int
        Number of the version; it alone has the route ``/v<version>``.
    """

    version: int
