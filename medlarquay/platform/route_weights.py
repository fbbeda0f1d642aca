"""Weights of the parts of a split route as whole numbers."""

import math
from collections.abc import Sequence
from typing import Any

from medlarquay import settings

__all__ = ('whole_weights',)


def whole_weights(published: Sequence[Any]) -> list[Any]:
    """Scale published weights to whole numbers within the product's range.

    Parameters
    ----------
    published : sequence of int or float
        Weights of the parts.

    Returns
    -------
    list of int
        Weights in the same proportions, up to rounding; a part with a weight
        above 0 keeps one. Whole numbers within the range are kept, and so are
        weights that are no numbers of 0 or more, which the product rejects.

    Examples
    --------
    >>> whole_weights([90, 10])
    [90, 10]
    >>> whole_weights([0.9, 0.1])
    [1000000, 111111]
    """
    if not all(map(_is_weight, published)):
        return list(published)
    heaviest = max(published, default=0)
    if heaviest <= settings.MAX_WEIGHT and all(map(_is_integer, published)):
        return list(published)
    return [_scale(weight, heaviest) for weight in published]


def _is_weight(candidate: object) -> bool:
    if isinstance(candidate, bool) or not isinstance(candidate, int | float):
        return False
    return 0 <= candidate < math.inf


def _is_integer(weight: float) -> bool:
    return isinstance(weight, int)


def _scale(weight: float, heaviest: float) -> int:
    if not weight:
        return 0
    return max(1, round(settings.MAX_WEIGHT * (weight / heaviest)))
