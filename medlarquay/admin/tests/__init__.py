"""Tests of the operators' pages."""
