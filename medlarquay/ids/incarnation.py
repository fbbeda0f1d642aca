"""Identifier of one run of a node, different for each run of an instance.

A random hexadecimal string drawn at process start.
"""

import typing

__all__ = ('Incarnation',)

Incarnation = typing.NewType('Incarnation', str)
