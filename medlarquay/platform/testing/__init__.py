"""Stand-ins of the platform for tests without its kit."""

__all__ = ()
