"""Fields of structured log lines."""

__all__ = ('format_fields',)


def format_fields(**fields: object) -> str:
    """Return ``name=value`` pairs in the order given.

    Notes
    -----
    Values with white space are quoted, so a line splits at its spaces.
    Times are written in whole milliseconds by the caller.

    Examples
    --------
    >>> format_fields(request='a1', reason='queue full')
    'request=a1 reason="queue full"'
    """
    return ' '.join(
        f'{name}={_shown(content)}' for name, content in fields.items()
    )


def _shown(content: object) -> str:
    text = '-' if content is None else str(content)
    return f'"{text}"' if ' ' in text else text
