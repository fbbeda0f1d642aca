"""Publication of a new document version by the operators."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Change',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change(fault.Fault):
    """Publication of a new document version by the operators.

    Attributes
    ----------
    version : int
        Number of the version; only this version has the route
        ``/v<version>``.
    """

    version: int
