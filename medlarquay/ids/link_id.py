"""Number of an incoming link of a node; 0 stands for its own ingress."""

import typing

__all__ = ('LinkId',)

LinkId = typing.NewType('LinkId', int)
