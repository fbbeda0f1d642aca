"""Tests of the tasks of a node."""
