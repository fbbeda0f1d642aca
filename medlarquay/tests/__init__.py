"""Tests of the project as a whole."""
