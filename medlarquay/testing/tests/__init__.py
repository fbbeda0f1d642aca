"""Tests of the test doubles."""
