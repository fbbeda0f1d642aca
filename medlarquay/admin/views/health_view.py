"""That the process answers."""

import dataclasses

__all__ = ('HealthView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthView:
    """That the process answers.

    Attributes
    ----------
    state : str
        State of the lifecycle.
    """

    state: str
