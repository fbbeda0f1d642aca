"""Tests of the operators' documents."""
