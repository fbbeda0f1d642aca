"""Tests that the documentation of team documents agrees with the schema."""

import pathlib

import pytest

from medlarquay import ids, settings

_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings-tree.md'


def test_example_is_accepted() -> None:
    """Guards against a documented example that the parser rejects."""
    content = _PAGE.read_text().split('```json\n')[1].partition('```')[0]
    document = settings.parse_document(
        team=ids.TeamName('agency'),
        content=content.encode(),
    )
    assert len(document.services) == 2
    assert len(document.routes) == 3


@pytest.mark.parametrize(
    'field',
    [*settings.DocumentField, *settings.ServiceField, *settings.RouteField],
)
def test_every_field_is_documented(
    field: settings.DocumentField | settings.ServiceField | settings.RouteField,
) -> None:
    """Guards against a field of the schema that is missing from the page."""
    assert f'| `{field.value}` |' in _PAGE.read_text()
