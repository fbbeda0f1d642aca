"""Tests of parsing and validating team documents."""
