"""A change of a document costs what changed."""

import json
from typing import Any

import pytest

from medlarquay import ids, replica, settings
from medlarquay.testing import large_document

_ROUTES = 1399
# One route takes some 150 characters.
_MAX_CHARACTERS = 1000


def test_only_changed_routes_are_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against parsing 1,400 routes for a change of one."""
    first = large_document.large_document(_ROUTES)
    second = large_document.large_document(_ROUTES, changed=(3,))
    spent: list[int] = []
    _count(monkeypatch, spent)
    for revision, content in enumerate((first, second), 1):
        spent.clear()
        record = replica.build_team_record(
            team=ids.TeamName(large_document.TEAM),
            revision=ids.Revision(revision),
            content=content,
        )
        assert not record.rejection
    assert sum(spent) <= _MAX_CHARACTERS


def test_first_document_is_not_written_and_parsed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second pass over all routes when a node starts."""
    content = large_document.large_document(_ROUTES)
    spent: list[int] = []
    _count(monkeypatch, spent)
    document = settings.parse_document(
        team=ids.TeamName(large_document.TEAM),
        content=content,
    )
    assert len(document.routes) == _ROUTES
    assert sum(spent) <= _MAX_CHARACTERS


def _count(monkeypatch: pytest.MonkeyPatch, spent: list[int]) -> None:
    parse, write = json.loads, json.dumps

    def loads(text: str, **options: Any) -> object:
        spent.append(len(text))
        return parse(text, **options)

    def dumps(tree: object, **options: Any) -> str:
        text = write(tree, **options)
        spent.append(len(text))
        return text

    monkeypatch.setattr(json, 'loads', loads)
    monkeypatch.setattr(json, 'dumps', dumps)
