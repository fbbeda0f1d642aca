"""Tests that the cost of a changed document depends on what changed."""

import json
from typing import Any

import pytest

from medlarquay import ids, replica, settings
from medlarquay.testing import large_document

_ROUTES = 1399
# A route takes about 150 characters, so this allows for a few routes.
_MAX_CHARACTERS = 1000


def test_only_changed_routes_are_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against decoding all 1,400 routes after one of them changed."""
    first = large_document.large_document(_ROUTES)
    second = large_document.large_document(_ROUTES, changed=(3,))
    json_lengths: list[int] = []
    _record_json_lengths(monkeypatch, json_lengths)
    for revision, content in enumerate((first, second), 1):
        json_lengths.clear()
        record = replica.build_team_record(
            team=ids.TeamName(large_document.TEAM),
            revision=ids.Revision(revision),
            content=content,
        )
        assert not record.rejection
    assert sum(json_lengths) <= _MAX_CHARACTERS


def test_first_document_is_decoded_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against encoding and decoding all routes again at node start."""
    content = large_document.large_document(_ROUTES)
    json_lengths: list[int] = []
    _record_json_lengths(monkeypatch, json_lengths)
    document = settings.parse_document(
        team=ids.TeamName(large_document.TEAM),
        content=content,
    )
    assert len(document.routes) == _ROUTES
    assert sum(json_lengths) <= _MAX_CHARACTERS


def _record_json_lengths(
    monkeypatch: pytest.MonkeyPatch, json_lengths: list[int]
) -> None:
    parse, write = json.loads, json.dumps

    def loads(text: str, **options: Any) -> object:
        json_lengths.append(len(text))
        return parse(text, **options)

    def dumps(tree: object, **options: Any) -> str:
        text = write(tree, **options)
        json_lengths.append(len(text))
        return text

    monkeypatch.setattr(json, 'loads', loads)
    monkeypatch.setattr(json, 'dumps', dumps)
