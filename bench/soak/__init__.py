"""Randomized fault soak with real processes."""
