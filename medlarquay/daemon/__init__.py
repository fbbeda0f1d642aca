"""Daemon of a node: its settings, composition and lifecycle."""
