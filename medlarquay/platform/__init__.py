"""Adapter to the users' platform: settings file, store and header names."""

__all__ = ()
