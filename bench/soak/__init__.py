"""Soak test: real processes under load and randomly drawn faults."""
