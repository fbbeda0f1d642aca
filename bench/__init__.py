"""Benchmarks, failure scenarios, the soak and the demonstration."""
