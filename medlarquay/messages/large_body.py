"""Length from which a body counts as large."""

__all__ = ('LARGE_BODY_BYTES',)

#: Length in bytes from which a body counts as large: it waits for the links of
#: the machines, where smaller messages pass it.
LARGE_BODY_BYTES = 16384
