"""Tests of the topology."""
