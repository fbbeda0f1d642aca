"""Fields of structured log lines."""

__all__ = ('format_fields',)


def format_fields(**fields: object) -> str:
    """Format fields as ``name=value`` pairs in the order given.

    Notes
    -----
    Values that contain a space are quoted, so that a line can be split at
    its spaces. Callers pass times in whole milliseconds.

    Examples
    --------
    >>> format_fields(request='a1', reason='queue full')
    'request=a1 reason="queue full"'
    """
    return ' '.join(
        f'{name}={_format_value(content)}' for name, content in fields.items()
    )


def _format_value(content: object) -> str:
    text = '-' if content is None else str(content)
    return f'"{text}"' if ' ' in text else text
