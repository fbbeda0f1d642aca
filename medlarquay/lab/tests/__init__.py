"""Tests of the simulations."""
