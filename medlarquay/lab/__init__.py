"""Experiments with the decision code in simulated time; no sockets."""
