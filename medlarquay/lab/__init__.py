"""Simulations of the routing and admission decisions, without sockets."""
