"""Tests of addresses."""
