"""Retrieval of views from the admin pages of a node."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from medlarquay import errors
from medlarquay.admin import views
from medlarquay.cli import (
    console,
    explain_command,
    page_request,
    show_command,
    show_topic,
)

__all__ = ('fetch_explanation', 'fetch_topic')

_VIEWS: Mapping[show_topic.ShowTopic, type[object]] = MappingProxyType({
    show_topic.ShowTopic.VERSION: views.VersionView,
    show_topic.ShowTopic.REJECTED: views.RejectedView,
    show_topic.ShowTopic.ROUTES: views.RouteView,
    show_topic.ShowTopic.MEMBERS: views.MemberView,
    show_topic.ShowTopic.COUNTERS: views.CounterView,
    show_topic.ShowTopic.RECORDS: views.RecordView,
})


def fetch_topic(
    command: show_command.ShowCommand,
    terminal: console.Console,
) -> tuple[Any, ...]:
    """Fetch one admin page and decode its views.

    Raises
    ------
    LinkError
        If the node does not answer with the page.
    DecodeError
        If the response does not hold views of this page.
    """
    request = page_request.PageRequest(
        node=command.node,
        page=command.topic.value,
    )
    return views.decode_view(
        _VIEWS[command.topic],
        terminal.fetch_page(request),
        peer=str(command.node),
    )


def fetch_explanation(
    command: explain_command.ExplainCommand,
    terminal: console.Console,
) -> views.ExplainView:
    """Fetch how the node would route a request.

    Raises
    ------
    LinkError
        If the node does not answer with the page.
    DecodeError
        If the response does not hold exactly one explanation.
    """
    request = page_request.PageRequest(
        node=command.node,
        page='explain',
        parameters=(
            ('host', command.host),
            ('target', command.target),
            ('method', command.method),
        ),
    )
    peer = str(command.node)
    explanations = views.decode_view(
        views.ExplainView,
        terminal.fetch_page(request),
        peer=peer,
    )
    if len(explanations) == 1:
        return explanations[0]
    raise errors.DecodeError(
        f'{len(explanations)} explanations',
        step='explain',
        peer=peer,
    )
