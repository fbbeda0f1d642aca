"""Stand-ins for the platform, for tests without the users' kit."""

__all__ = ()
