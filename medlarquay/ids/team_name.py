"""Name of a team, which owns one subtree of the operators' settings."""

import typing

__all__ = ('TeamName',)

TeamName = typing.NewType('TeamName', str)
