"""Distinguishes one run of a node from earlier runs of the same instance.

A random hexadecimal string drawn at process start."""

import typing

__all__ = ('Incarnation',)

Incarnation = typing.NewType('Incarnation', str)
