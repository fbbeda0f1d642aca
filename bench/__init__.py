"""Measurements and the demonstration."""
