"""Tests that incremental and whole parsing accept the same documents."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import errors, ids, settings

_TEAM = ids.TeamName(settings.SHARED_TEAM)


def _document(timeouts: list[int], *, indent: int | None = None) -> bytes:
    return json.dumps(
        {
            'services': {'desk': {}},
            'routes': [
                {
                    'host': 'desk.example',
                    'path_prefix': f'/{number}',
                    'service': 'desk',
                    'timeout_ms': timeout_ms,
                }
                for number, timeout_ms in enumerate(timeouts)
            ],
        },
        indent=indent,
    ).encode()


def _parse_or_error(
    content: bytes,
    earlier: settings.ParsedDocument | None,
) -> settings.TeamDocument | str:
    try:
        parsed = settings.parse_incrementally(
            team=_TEAM,
            content=content,
            earlier=earlier,
        )
    except errors.DocumentError as failure:
        return str(failure)
    return parsed.document


_EARLIER = settings.parse_incrementally(
    team=_TEAM,
    content=_document([1, 2, 3, 4]),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(strategies.integers(0, 5), max_size=7),
    strategies.sampled_from((None, 1)),
)
def test_changed_routes_parse_like_the_whole_document(
    timeouts: list[int], indent: int | None
) -> None:
    """Guards against reuse that keeps a removed route or loses one that stays.

    Routes are added, removed and changed against the earlier version.
    """
    content = _document(timeouts, indent=indent)
    earlier = settings.parse_incrementally(
        team=_TEAM,
        content=_document([1, 2, 3, 4], indent=indent),
    )
    assert _parse_or_error(content, earlier) == _parse_or_error(content, None)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=600)
@hypothesis.given(
    strategies.integers(0, 400),
    strategies.integers(0, 12),
    strategies.sampled_from(
        ('', ',', ' ', '{', '}', ']', '"', '1', '/0', 'desk', ', {}', 'NaN'),
    ),
)
def test_damaged_text_parses_like_the_whole_document(
    offset: int, length: int, inserted: str
) -> None:
    """Guards against accepting invalid text because routes are reused."""
    text = _document([1, 2, 3, 4]).decode()
    offset %= len(text)
    damaged = text[:offset] + inserted + text[offset + length :]
    content = damaged.encode()
    assert _parse_or_error(content, _EARLIER) == _parse_or_error(content, None)


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('}, {', '} {'),
        ('}, {', '}, , {'),
        ('}]}', '}, ]}'),
        ('}]}', '}]} '),
        ('}]}', '}], "routes": []}'),
        ('"/1"', '"/0"'),
        ('"service": "desk"', '"service": "portal"'),
        ('"timeout_ms": 2', '"timeout_ms": 2, "timeout_ms": 2'),
    ],
)
def test_rules_between_routes_hold_after_a_change(
    before: str, after: str
) -> None:
    """Guards against applying rules between routes to changed routes only."""
    content = _document([1, 2, 3, 4]).decode().replace(before, after, 1)
    parsed = _parse_or_error(content.encode(), _EARLIER)
    assert parsed == _parse_or_error(content.encode(), None)
