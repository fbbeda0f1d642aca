"""Name of a data centre."""

import typing

__all__ = ('DataCentreName',)

DataCentreName = typing.NewType('DataCentreName', str)
