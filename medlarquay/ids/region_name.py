"""Name of a region."""

import typing

__all__ = ('RegionName',)

RegionName = typing.NewType('RegionName', str)
