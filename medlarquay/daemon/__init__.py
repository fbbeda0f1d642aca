"""The daemon: settings, composition and lifecycle of a node."""
