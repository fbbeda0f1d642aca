"""The users' platform: its settings file, store, names and readiness."""

__all__ = ()
